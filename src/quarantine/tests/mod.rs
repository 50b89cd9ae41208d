use super::{RequestDigest, RequestParts};

const PARTS: RequestParts<'_> = RequestParts {
    host: "desk.example",
    path: "/safe/x",
    account: Some("lodge"),
    body: b"body",
};

/// Guards against two different requests that are taken for the same one.
#[test]
fn requests_that_differ_have_digests_that_differ() {
    let same = RequestDigest::of(PARTS);
    assert_eq!(same, RequestDigest::of(PARTS));
    let others = [
        RequestParts {
            host: "desk.example/",
            path: "safe/x",
            ..PARTS
        },
        RequestParts {
            path: "/safe/xlodge",
            account: None,
            ..PARTS
        },
        RequestParts {
            account: Some("inn"),
            ..PARTS
        },
        RequestParts {
            body: b"bodyguard",
            ..PARTS
        },
    ];
    for other in others {
        assert_ne!(same, RequestDigest::of(other), "{other:?}");
    }
}
