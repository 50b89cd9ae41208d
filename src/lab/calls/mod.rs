//! Callers' requests: sent as a caller would, read to the end, and judged against what the
//! stand-ins compute and record.

mod lab_call;

pub(crate) use lab_call::{CallAsk, CallOrder, CallOutcome, CallRecord, LabCaller};
