//! The table at the end of a quickstart.

use std::time::Duration;

use crate::lab::calls::{CallClass, CallCounts, CallJudge, FinishedCall};

/// Prints one line for each class of calls, and what was found.
pub(super) fn print_report(judge: &CallJudge, calls: &[FinishedCall]) -> CallCounts {
    println!(
        "{:24}{:>7}{:>10}{:>10}{:>10}{:>10}{:>10}",
        "class", "calls", "answered", "not run", "unknown", "p50 ms", "max ms"
    );
    for class in CallClass::ALL {
        let of_class = calls.iter().filter(|call| call.class == class);
        let counts = judge.judge(of_class.clone());
        let (middle, longest) = spans(of_class.map(|call| call.total_time).collect());
        println!(
            "{:24}{:>7}{:>10}{:>10}{:>10}{:>10}{:>10}",
            class.name(),
            counts.requests,
            counts.answered,
            counts.refused,
            counts.not_known,
            middle.as_millis(),
            longest.as_millis()
        );
    }
    let counts = judge.judge(calls);
    println!("{}", counts.summary());
    for finding in &counts.findings {
        println!("  {finding}");
    }
    counts
}

fn spans(mut spans: Vec<Duration>) -> (Duration, Duration) {
    spans.sort_unstable();
    let middle = spans.get(spans.len() / 2).copied();
    let longest = spans.last().copied();
    (middle.unwrap_or_default(), longest.unwrap_or_default())
}
