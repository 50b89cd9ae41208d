//! Messages between our own processes: rmp-serde, one per body, or a stream of length-prefixed
//! frames in one body.

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

/// The largest frame that is read, in bytes; a chunk of weights fits with its head.
const FRAME_BYTES_MAX: usize = 64 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;
/// How deep a message is nested at most; ours are below ten.
///
/// A thousand lists in each other, which the library takes by itself, fill the stack of a thread and
/// end the process; a datagram has room for them. One would notice "has overflowed its stack" as the
/// last line of a process.
const MESSAGE_DEPTH_MAX: usize = 64;

/// The bytes of `message`.
pub(crate) fn encode_message<M: Serialize>(message: &M) -> SwitchResult<Bytes> {
    match rmp_serde::to_vec_named(message) {
        Ok(bytes) => Ok(bytes.into()),
        Err(fault) => Err(SwitchError::new(ErrorKind::Internal, fault.to_string())),
    }
}

/// The bytes of `message` without the names of its fields, for messages that fill a datagram.
pub(crate) fn encode_datagram<M: Serialize>(message: &M) -> SwitchResult<Bytes> {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => Ok(bytes.into()),
        Err(fault) => Err(SwitchError::new(ErrorKind::Internal, fault.to_string())),
    }
}

/// The message in `bytes`.
pub(crate) fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> SwitchResult<M> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(MESSAGE_DEPTH_MAX);
    M::deserialize(&mut decoder)
        .map_err(|fault| SwitchError::new(ErrorKind::MessageInvalid, fault.to_string()))
}

/// A body fed frame by frame, and the end that feeds it. Up to `depth` frames wait for a slow
/// reader; then the writer waits.
pub(crate) fn frame_channel(depth: usize) -> (FrameWriter, Body) {
    let (sender, receiver) = mpsc::channel::<Bytes>(depth);
    let frames = ReceiverStream::new(receiver).map(|bytes| Ok(Frame::data(bytes)));
    (FrameWriter { sender }, Body::from_stream(frames))
}

/// The writing end of a [`frame_channel`]. The body ends when it is dropped.
#[derive(Clone, Debug)]
pub(crate) struct FrameWriter {
    sender: mpsc::Sender<Bytes>,
}

impl FrameWriter {
    /// Writes `message` as one frame.
    ///
    /// # Errors
    ///
    /// `CallerGone` when the reader has left.
    pub(crate) async fn write<M: Serialize>(&self, message: &M) -> SwitchResult<()> {
        let payload = encode_message(message)?;
        let mut frame = Vec::with_capacity(LENGTH_BYTES + payload.len());
        let length = u32::try_from(payload.len())
            .map_err(|_| SwitchError::new(ErrorKind::Internal, "frame over 4 GiB"))?;
        frame.extend_from_slice(&length.to_be_bytes());
        frame.extend_from_slice(&payload);
        self.write_bytes(frame.into()).await
    }

    /// Writes `bytes` as they are, for bodies that are not frames.
    pub(crate) async fn write_bytes(&self, bytes: Bytes) -> SwitchResult<()> {
        let sent = self.sender.send(bytes).await;
        sent.map_err(|_| SwitchError::new(ErrorKind::CallerGone, "the reader left"))
    }

    /// Returns when the reader has left.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}

type BodyBytes = std::pin::Pin<Box<dyn futures::Stream<Item = std::io::Result<Bytes>> + Send>>;

/// Reads the frames of a body.
pub(crate) struct FrameReader {
    frames: FramedRead<StreamReader<BodyBytes, Bytes>, LengthDelimitedCodec>,
}

impl FrameReader {
    /// Reads the frames of `body`.
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

    /// The next message; `None` when the body ended between frames.
    ///
    /// # Errors
    ///
    /// `AnswerCut` when the connection broke, `MessageInvalid` when a frame does not read.
    pub(crate) async fn next<M: DeserializeOwned>(&mut self) -> SwitchResult<Option<M>> {
        match self.frames.next().await {
            None => Ok(None),
            Some(Ok(frame)) => decode_message(&frame).map(Some),
            Some(Err(fault)) => Err(SwitchError::new(ErrorKind::AnswerCut, fault.to_string())),
        }
    }
}
