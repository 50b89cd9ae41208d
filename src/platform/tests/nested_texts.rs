//! Texts of other programs that are nested very deeply: documents, target versions, evacuations, digests
//! and reports of engines.

use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::engine_calls::read_report;
use crate::platform::weights_origin::read_digests;
use crate::platform::{check_evacuation, read_document, read_target_version};

/// Depths around the limit of the JSON library, which is 128, and the deepest that fits into a row of
/// 64 KiB.
const DEPTHS: [usize; 5] = [127, 128, 200, 10_000, 32_768];
/// Up to this depth, unknown fields of a report may be decoded.
const DECODED_DEPTH: usize = 128;
const FIELDS: [&str; 12] = [
    "version", "routes", "services", "limits", "tenants", "model", "digests", "models", "layers",
    "busy", "pace", "new",
];

fn nested(depth: usize) -> [String; 3] {
    let lists = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let objects = format!("{}1{}", "{\"name\":".repeat(depth), "}".repeat(depth));
    let half = depth / 2;
    let mixed = format!("{}1{}", "[{\"name\":".repeat(half), "}]".repeat(half));
    [lists, objects, mixed]
}

/// Guards against a process that ends by a stack overflow because of such a text.
#[test]
fn a_deeply_nested_text_overflows_no_stack() {
    let target = ModelVersion {
        model: "m".into(),
        version: WeightsVersion(2),
    };
    for value in DEPTHS.into_iter().flat_map(nested) {
        for field in FIELDS {
            let text = format!("{{\"{field}\":{value}}}");
            let text = text.as_bytes();
            assert!(read_document(text).is_err());
            assert!(read_target_version("version/m", text).is_err());
            assert!(read_digests(&target, text).is_err());
            // No field of an evacuation is read.
            assert!(check_evacuation("z", text).is_ok());
            // Unknown fields of a report are decoded, too.
            assert!(read_report(text).is_err() || value.len() < 12 * DECODED_DEPTH);
        }
        assert!(read_document(value.as_bytes()).is_err());
        assert!(read_report(value.as_bytes()).is_err() || value.len() < 12 * DECODED_DEPTH);
    }
}
