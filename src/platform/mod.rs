//! Adapters to the users' platform: its store, settings files, header fields, engines and origin of
//! weights. Only this module knows the platform's names, formats and calls. It decodes each message
//! once into a type of this crate and makes no decisions. The fakes serve the lab and tests.

mod backend_headers;
mod backend_row;
mod command;
mod document_rows;
mod engine_calls;
mod fake_backend;
mod fake_engine;
mod fake_origin;
mod fake_store;
mod json_object;
mod millis;
mod request_head;
mod sample_files;
pub(crate) mod samples;
mod settings_file;
mod store_client;
mod store_revision;
mod store_rows;
#[cfg(test)]
mod tests;
mod weights_origin;

pub(crate) use backend_headers::{
    PRIORITY_MAX, ResponseHead, ResponseOutcome, SendFields, read_response_head, send_headers,
};
pub(crate) use backend_row::read_backend_row;
pub(crate) use command::{PLATFORM_COMMAND, run_on_platform, with_platform};
pub(crate) use document_rows::{OperatorRow, check_evacuation, read_document, read_target_version};
pub(crate) use engine_calls::{EngineClient, EngineReport, LoadOrder, OrderOutcome};
pub(crate) use fake_backend::{
    BackendRun, EngineLoad, FakeBackend, FakeBackendConfig, HARMFUL_PREFIX, RequestArrival, RunEnd,
    RunEvent, stream_event,
};
#[cfg(test)]
pub(crate) use fake_engine::EngineCall;
pub(crate) use fake_engine::{FakeEngine, StagedAfterRestart, StartTimeField};
pub(crate) use fake_origin::FakeOrigin;
pub(crate) use fake_store::{FakeStore, StoreFault};
pub(crate) use json_object::read_object;
pub(crate) use request_head::{RequestHead, read_request_head};
pub(crate) use sample_files::{
    AccountSample, ENTRY_DATA_CENTRE, EVACUATED_DATA_CENTRE, ProcessAddresses, RETRY_EXTRA,
    RETRY_RATIO, RETRY_WINDOW, data_centre_of, document_text, event_timeout, is_home_of_writes,
    settings_text, stream_timeout,
};
pub(crate) use settings_file::{PlatformBounds, PlatformSettings, SETTINGS_PATH_VARIABLE};
pub(crate) use store_client::{
    CHANGED_ROWS_MAX, StoreClient, TableName, WatchResponse, WriteOutcome,
};
pub(crate) use store_revision::{era_of, is_first, revision_before, revision_text};
#[cfg(test)]
pub(crate) use store_revision::{number_in, revision_in};
pub(crate) use store_rows::{StoreRow, TableView};
pub(crate) use weights_origin::{ChunkDigests, OriginClient};

/// The path of the readiness check that the platform's load balancer calls.
pub(crate) const READY_PATH: &str = "/v1/ready";
