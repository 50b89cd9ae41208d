//! Documents written by a newer program: what this one does not know is left out and named, never
//! silently.

use serde_json::Value;

use super::schema::ServiceDocument;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// The document in `value`, and the paths of the fields that this program does not know.
///
/// During an upgrade some processes are older than a document. Refusing it whole would keep an old
/// version in force on them for hours; dropping fields silently would hide that a new limit is not
/// kept there. One would notice neither. So the known part is put in force and the rest is named.
///
/// # Errors
///
/// `MessageInvalid` when what is left does not read as a document.
pub(crate) fn split_unknown(value: &Value) -> SwitchResult<(ServiceDocument, Vec<String>)> {
    if let Ok(document) = serde_json::from_value(value.clone()) {
        return Ok((document, Vec::new()));
    }
    let schema = super::json_schema();
    let mut known = value.clone();
    let mut unknown = Vec::new();
    strip(&mut known, &schema, &schema, "", &mut unknown);
    match serde_json::from_value(known) {
        Ok(document) => Ok((document, unknown)),
        Err(fault) => Err(SwitchError::new(
            ErrorKind::MessageInvalid,
            fault.to_string(),
        )),
    }
}

/// Removes from `value` what `schema` does not name.
fn strip(value: &mut Value, schema: &Value, root: &Value, path: &str, unknown: &mut Vec<String>) {
    let schema = resolve(schema, root);
    match value {
        Value::Object(fields) => {
            let Some(known) = schema.get("properties").and_then(Value::as_object) else {
                return;
            };
            fields.retain(|name, field| {
                let place = format!("{path}/{name}");
                let Some(part) = known.get(name) else {
                    unknown.push(place);
                    return false;
                };
                strip(field, part, root, &place, unknown);
                true
            });
        }
        Value::Array(items) => {
            let Some(part) = schema.get("items") else {
                return;
            };
            for (index, item) in items.iter_mut().enumerate() {
                strip(item, part, root, &format!("{path}/{index}"), unknown);
            }
        }
        _ => {}
    }
}

/// Follows a reference to the part that it names.
fn resolve<'a>(schema: &'a Value, root: &'a Value) -> &'a Value {
    let reference = schema.get("$ref").and_then(Value::as_str);
    let pointer = reference.map(|reference| reference.trim_start_matches('#'));
    let named = pointer.and_then(|pointer| root.pointer(pointer));
    named.unwrap_or(schema)
}
