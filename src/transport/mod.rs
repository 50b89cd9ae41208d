//! HTTP transport on volo-http: a server that backs off when it cannot accept connections, a client
//! whose connection pools can be dropped per peer, and streams of rmp-serde frames in HTTP bodies.

mod accept;
mod charged_response;
mod client;
mod connections;
mod frames;
mod response;
mod served_stream;
mod server;
mod stall_tolerant_timeout;
#[cfg(test)]
mod tests;

pub(crate) use client::{ClientLimits, PeerClient, ResponseTimeouts, decode_error_body};
pub(crate) use frames::{
    FrameReader, FrameWriter, decode_message, encode_datagram, encode_message, frame_channel,
};
pub(crate) use response::{
    RUN_OUTCOME_HEADER, error_response, error_response_with, json_response, message_response,
};
pub(crate) use server::{
    HttpServer, bind_listener, read_body, read_request_body, read_request_message, start_metrics,
};
pub(crate) use stall_tolerant_timeout::stall_tolerant_timeout;
