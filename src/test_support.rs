//! Helpers for the unit tests of several folders: reproducible randomised tests, random JSON,
//! corrupted input, samples, and the judge of a retry budget.

use std::net::SocketAddr;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use serde_json::{Map, Value, json};
use tokio::net::TcpListener;

use crate::fleet::RetryShareLimits;
use crate::quarantine::{RequestParts, SuspectDigest};
use crate::time::ClockTime;

/// Runs `property` on `cases` inputs of `size` random bytes each. The inputs are the same in every
/// run; arbtest prints the seed of a failing one. Its own search for inputs is limited by time, so
/// that the same code could pass on a slow machine and fail on a fast one.
pub(crate) fn run_cases(
    cases: u32,
    size: u32,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>,
) {
    for case in 1..=cases {
        // Spreads the case numbers over the seed's range; the odd factor keeps the seeds distinct.
        let spread = case.wrapping_mul(0x9e37_79b1);
        let seed = (u64::from(spread) << u32::BITS) | u64::from(size);
        arbtest(&mut property).seed(seed).run();
    }
}

/// Largest nesting depth of random JSON.
const JSON_DEPTH: usize = 3;
/// Largest length of random texts and of repeated texts and lists.
const JSON_LENGTH: usize = 600;

/// Generates a random JSON value.
pub(crate) fn arbitrary_json(u: &mut Unstructured<'_>) -> Result<Value> {
    json_up_to_depth(u, JSON_DEPTH)
}

fn json_up_to_depth(u: &mut Unstructured<'_>, depth: usize) -> Result<Value> {
    let kinds = if depth == 0 { 7 } else { 9 };
    Ok(match u.int_in_range(0..=kinds)? {
        0 => Value::Null,
        1 => json!(u.arbitrary::<bool>()?),
        2 => json!(u.arbitrary::<i64>()?),
        3 => json!(*u.choose(&[0, 1, u64::from(u32::MAX), u64::from(u32::MAX) + 1, u64::MAX])?),
        4 => json!(*u.choose(&[-1.0, -0.5, 0.5, 1.0, 1e19, 1e300, f64::MIN, f64::MAX])?),
        5 => json!(*u.choose(&["", "0", "null", "x", "-1", "\u{0}\n", "é"])?),
        6 => json!("x".repeat(u.int_in_range(0..=JSON_LENGTH)?)),
        7 => json!(u.arbitrary::<String>()?),
        8 => Value::Array(vec![
            json_up_to_depth(u, depth - 1)?;
            u.int_in_range(0..=3)?
        ]),
        _ => {
            let mut fields = Map::new();
            for _ in 0..u.int_in_range(0..=3)? {
                fields.insert(u.arbitrary()?, json_up_to_depth(u, depth - 1)?);
            }
            Value::Object(fields)
        }
    })
}

/// Removes, replaces, lengthens or nests a random field of `value`.
pub(crate) fn mutate_json(u: &mut Unstructured<'_>, value: &mut Value) -> Result<()> {
    let keys: Vec<String> = match value {
        Value::Object(fields) => fields.keys().cloned().collect(),
        Value::Array(items) if !items.is_empty() && u.ratio(1, 2)? => {
            let position = u.choose_index(items.len())?;
            return mutate_json(u, &mut items[position]);
        }
        _ => Vec::new(),
    };
    if keys.is_empty() || u.ratio(1, 20)? {
        return replace_json(u, value);
    }
    let key = u.choose(&keys)?;
    if u.ratio(1, 4)? {
        if let Value::Object(fields) = value {
            fields.remove(key);
        }
        return Ok(());
    }
    let field = &mut value[&**key];
    if (field.is_object() || field.is_array()) && u.ratio(3, 4)? {
        return mutate_json(u, field);
    }
    replace_json(u, field)
}

fn replace_json(u: &mut Unstructured<'_>, value: &mut Value) -> Result<()> {
    *value = match (u.int_in_range(0..=3)?, &*value) {
        (0, Value::String(text)) => json!(text.repeat(JSON_LENGTH)),
        (0, Value::Array(items)) if !items.is_empty() => {
            Value::Array(vec![items[0].clone(); JSON_LENGTH])
        }
        (0, Value::Number(_)) => json!(u64::MAX),
        (1, value) => json!([value]),
        (2, value) => json!({ "x": value }),
        _ => arbitrary_json(u)?,
    };
    Ok(())
}

/// Truncates `bytes`, overwrites some of them, or inserts headers of very long lists and texts.
pub(crate) fn corrupt_bytes(u: &mut Unstructured<'_>, bytes: &mut Vec<u8>) -> Result<()> {
    /// `MessagePack` headers of a list, a map, a text and a byte string with a length of four
    /// billion each, and of nested lists.
    const HEADERS: [&[u8]; 5] = [
        &[0xdd, 0xff, 0xff, 0xff, 0xff],
        &[0xdf, 0xff, 0xff, 0xff, 0xff],
        &[0xdb, 0xff, 0xff, 0xff, 0xff],
        &[0xc6, 0xff, 0xff, 0xff, 0xff],
        &[0x91; 4000],
    ];
    for _ in 0..u.int_in_range(1..=3)? {
        let position = u.int_in_range(0..=bytes.len())?;
        match u.int_in_range(0..=3)? {
            0 => bytes.truncate(position),
            1 => {
                let header = u.choose(&HEADERS)?;
                bytes.splice(position..position, header.iter().copied());
            }
            2 => {
                let header = u.choose(&HEADERS)?;
                let end = bytes.len().min(position + header.len());
                bytes.splice(position..end, header.iter().copied());
            }
            _ => {
                if let Some(byte) = bytes.get_mut(position) {
                    *byte = u.arbitrary()?;
                }
            }
        }
    }
    Ok(())
}

/// Digest of a request in which only the body varies.
pub(crate) fn digest_of(body: &[u8]) -> SuspectDigest {
    SuspectDigest::of_request(RequestParts {
        host: "h",
        path: "/p",
        account: None,
        body,
    })
}

/// Returns a loopback address without a listener.
pub(crate) async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let address = listener.expect("a free port").local_addr();
    address.expect("the listener is bound")
}

/// Returns the largest excess over the retry budget in any window: the arrivals beyond the first of
/// their request, over all entry hosts, less what the requests allow of that window, of the one
/// before it, or of the one half a window before it. The requests are sorted by time.
pub(crate) fn worst_budget_excess(
    limits: RetryShareLimits,
    requests: &[ClockTime],
    arrivals: &[ClockTime],
) -> f64 {
    let window = limits.window;
    let count_within = |times: &[ClockTime], from: ClockTime| {
        let before = times.partition_point(|at| *at < from);
        let count = times.partition_point(|at| *at <= from + window) - before;
        u32::try_from(count).map_or(f64::INFINITY, f64::from)
    };
    let mut arrivals = arrivals.to_vec();
    arrivals.sort_unstable();
    let excess = arrivals.iter().map(|begin| {
        let windows = [*begin, *begin - window / 2, *begin - window];
        let most = windows.map(|from| count_within(requests, from));
        let most = most.into_iter().fold(0.0, f64::max);
        count_within(&arrivals, *begin) - (limits.ratio * most + limits.extra)
    });
    excess.fold(f64::MIN, f64::max)
}
