//! Encoding of messages between savoryswitch processes with rmp-serde: one message per body, or a
//! stream of length-prefixed frames in one body.

use bytes::Bytes;
use futures::StreamExt;
use http_body::Frame;
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};
use tokio_util::io::StreamReader;
use volo_http::body::Body;

use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// Largest accepted frame, in bytes. A chunk of weights with its header fits.
const FRAME_BYTES_MAX: usize = 64 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;
/// Largest accepted nesting depth of a message. Messages of savoryswitch nest less than ten deep.
///
/// The library's own limit admits a thousand nested lists, which fit into a datagram. Decoding them
/// overflows the thread's stack and aborts the process, with "has overflowed its stack" as its last
/// line.
const MESSAGE_DEPTH_MAX: usize = 64;

/// Encodes `message` with its field names.
pub(crate) fn encode_message<M: Serialize>(message: &M) -> SwitchResult<Bytes> {
    match rmp_serde::to_vec_named(message) {
        Ok(bytes) => Ok(bytes.into()),
        Err(error) => Err(SwitchError::new(ErrorKind::Internal, error.to_string())),
    }
}

/// Encodes `message` without its field names, for messages that have to fit into a datagram.
pub(crate) fn encode_datagram<M: Serialize>(message: &M) -> SwitchResult<Bytes> {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => Ok(bytes.into()),
        Err(error) => Err(SwitchError::new(ErrorKind::Internal, error.to_string())),
    }
}

/// Decodes a message.
///
/// # Errors
///
/// `MessageInvalid` when `bytes` are not a message of this type or nest too deep.
pub(crate) fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> SwitchResult<M> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(MESSAGE_DEPTH_MAX);
    M::deserialize(&mut decoder)
        .map_err(|error| SwitchError::new(ErrorKind::MessageInvalid, error.to_string()))
}

/// Returns a streaming body and its writer. Up to `depth` frames are buffered for a slow reader;
/// beyond that, writes wait.
pub(crate) fn frame_channel(depth: usize) -> (FrameWriter, Body) {
    let (sender, receiver) = mpsc::channel::<Bytes>(depth);
    let frames = ReceiverStream::new(receiver).map(|bytes| Ok(Frame::data(bytes)));
    (FrameWriter { sender }, Body::from_stream(frames))
}

/// Writing end of a [`frame_channel`]. The body ends when the last clone is dropped.
#[derive(Clone, Debug)]
pub(crate) struct FrameWriter {
    sender: mpsc::Sender<Bytes>,
}

impl FrameWriter {
    /// Writes `message` as one frame.
    ///
    /// # Errors
    ///
    /// `CallerGone` when the body was dropped by its reader.
    pub(crate) async fn write<M: Serialize>(&self, message: &M) -> SwitchResult<()> {
        let payload = encode_message(message)?;
        let mut frame = Vec::with_capacity(LENGTH_BYTES + payload.len());
        let length = u32::try_from(payload.len())
            .map_err(|_| SwitchError::new(ErrorKind::Internal, "frame over 4 GiB"))?;
        frame.extend_from_slice(&length.to_be_bytes());
        frame.extend_from_slice(&payload);
        self.write_bytes(frame.into()).await
    }

    /// Writes `bytes` without a length prefix, for bodies that are not made of frames.
    ///
    /// # Errors
    ///
    /// `CallerGone` when the body was dropped by its reader.
    pub(crate) async fn write_bytes(&self, bytes: Bytes) -> SwitchResult<()> {
        let sent = self.sender.send(bytes).await;
        sent.map_err(|_| SwitchError::new(ErrorKind::CallerGone, "the reader closed the body"))
    }

    /// Waits until the reader has dropped the body.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}

type BodyBytes = std::pin::Pin<Box<dyn futures::Stream<Item = std::io::Result<Bytes>> + Send>>;

/// Decodes a body as a stream of frames.
pub(crate) struct FrameReader {
    frames: FramedRead<StreamReader<BodyBytes, Bytes>, LengthDelimitedCodec>,
}

impl FrameReader {
    /// Creates a reader over `body`.
    pub(crate) fn new(body: Body) -> Self {
        let bytes: BodyBytes = Box::pin(
            body.into_data_stream()
                .map(|part| part.map_err(std::io::Error::other)),
        );
        let codec = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(FRAME_BYTES_MAX)
            .new_codec();
        Self {
            frames: FramedRead::new(StreamReader::new(bytes), codec),
        }
    }

    /// Reads the next message; `None` when the body ended at a frame boundary.
    ///
    /// # Errors
    ///
    /// `AnswerCut` when the connection broke, `MessageInvalid` when a frame cannot be decoded.
    pub(crate) async fn next<M: DeserializeOwned>(&mut self) -> SwitchResult<Option<M>> {
        match self.frames.next().await {
            None => Ok(None),
            Some(Ok(frame)) => decode_message(&frame).map(Some),
            Some(Err(error)) => Err(SwitchError::new(ErrorKind::AnswerCut, error.to_string())),
        }
    }
}
