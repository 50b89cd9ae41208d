//! The administration API that entry hosts serve, under `/admin/v1/`.

use volo_http::server::route::Router;

use crate::control::ControlHandle;

/// The administration API over what `control` knows. `operator_key_digest` is the BLAKE3 digest, in
/// hex, of the key that may create documents and read everything.
pub(crate) fn admin_routes(control: &ControlHandle, operator_key_digest: &str) -> Router {
    // TODO: the routes.
    let _ = (control, operator_key_digest);
    Router::new()
}
