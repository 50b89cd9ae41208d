//! The platform's object store.

use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http::{Method, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

use super::stand_in::{LabCall, refusal, unknown};
use crate::transport::json_reply;

/// The object store.
#[derive(Debug, Default)]
pub(crate) struct ObjectsStandIn {
    /// Sorted by name.
    objects: Mutex<Vec<(String, Bytes)>>,
}

impl ObjectsStandIn {
    pub(super) fn answer(&self, call: &LabCall) -> Response {
        let Some(name) = call.path.strip_prefix("/objects/v1/") else {
            return unknown(call);
        };
        match call.method {
            Method::GET => self.get(name),
            Method::PUT => self.put(name, call.body.clone()),
            _ => unknown(call),
        }
    }

    fn get(&self, name: &str) -> Response {
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        match objects.binary_search_by(|(known, _)| known.as_str().cmp(name)) {
            Ok(at) => Response::new(Body::from(objects[at].1.clone())),
            Err(_) => refusal(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn put(&self, name: &str, object: Bytes) -> Response {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        match objects.binary_search_by(|(known, _)| known.as_str().cmp(name)) {
            Ok(at) => objects[at].1 = object,
            Err(at) => objects.insert(at, (name.to_owned(), object)),
        }
        json_reply(StatusCode::OK, &())
    }
}
