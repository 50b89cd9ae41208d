//! The table of results that a quickstart prints at its end.

use std::time::Duration;

use crate::lab::calls::{CallClass, CallCounts, CallJudge, FinishedCall};

/// Prints one line for each class of calls, the summary and the findings. Returns the counts of all
/// calls.
pub(super) fn print_report(judge: &CallJudge, calls: &[FinishedCall]) -> CallCounts {
    println!(
        "{:24}{:>7}{:>10}{:>10}{:>10}{:>10}{:>10}",
        "class", "calls", "answered", "not run", "unknown", "p50 ms", "max ms"
    );
    for class in CallClass::ALL {
        let class_calls = calls.iter().filter(|call| call.class == class);
        let counts = judge.judge(class_calls.clone());
        let (median, maximum) =
            median_and_maximum(class_calls.map(|call| call.total_time).collect());
        println!(
            "{:24}{:>7}{:>10}{:>10}{:>10}{:>10}{:>10}",
            class.name(),
            counts.requests,
            counts.answered,
            counts.refused,
            counts.not_known,
            median.as_millis(),
            maximum.as_millis()
        );
    }
    let counts = judge.judge(calls);
    println!("{}", counts.summary());
    for finding in &counts.findings {
        println!("  {finding}");
    }
    counts
}

/// The median and the maximum of `durations`; zero when there are none.
fn median_and_maximum(mut durations: Vec<Duration>) -> (Duration, Duration) {
    durations.sort_unstable();
    let median = durations.get(durations.len() / 2).copied();
    let maximum = durations.last().copied();
    (median.unwrap_or_default(), maximum.unwrap_or_default())
}
