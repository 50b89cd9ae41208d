//! HTTP at the process's edge, by volo-http: a server that sheds connections rather than spins, a
//! client that can be made to open a fresh connection, and streams of rmp-serde frames inside HTTP
//! bodies.

mod accept;
mod client;
mod frames;
mod response;
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
pub(crate) use server::{HttpServer, bind_listener, read_body, read_message, start_metrics};
pub(crate) use stall_tolerant_timeout::stall_tolerant_timeout;
