//! Carries out the steps of an acceptance against the table, and puts what was accepted in force
//! here at once.

use tokio::time::sleep;

use crate::control::ControlHandle;
use crate::documents::{
    AcceptanceMachine, AcceptanceOutcome, AcceptanceStep, ChangeRequest, TableResponse,
};
use crate::errors::SwitchResult;
use crate::metrics;
use crate::stores::{TableStore, WriteResult};
use crate::time::{clock_now, wall_now};

/// Takes the change `order` to its end.
///
/// What was accepted goes to this host's control thread before the author learns of it: from there
/// its neighbours learn of it within milliseconds, also when the table goes away right afterwards.
pub(super) async fn accept_change(
    control: &ControlHandle,
    order: ChangeRequest,
) -> AcceptanceOutcome {
    let mut machine = AcceptanceMachine::new(order, clock_now(), wall_now());
    let table = &*control.adapters().table;
    loop {
        let now = clock_now();
        match machine.next_step(now) {
            AcceptanceStep::WaitUntil(due) => sleep(due.since(now)).await,
            AcceptanceStep::Done(end) => {
                if let AcceptanceOutcome::Accepted { row: Some(row), .. } = &*end {
                    control.put_in_force(row.clone()).await;
                }
                return *end;
            }
            step => {
                let event = carry_out(table, step).await;
                machine.on_response(event, clock_now());
            }
        }
    }
}

async fn carry_out(table: &dyn TableStore, step: AcceptanceStep) -> TableResponse {
    match step {
        AcceptanceStep::Read { key } => answered(table.read(&key).await.map(TableResponse::Row)),
        AcceptanceStep::Write {
            key,
            expected,
            value,
        } => {
            let written = table.write(&key, expected, value).await;
            answered(written.map(|result| match result {
                WriteResult::Written(revision) => TableResponse::Written(revision),
                WriteResult::Conflict(standing) => TableResponse::Conflict(standing),
            }))
        }
        AcceptanceStep::WaitUntil(_) | AcceptanceStep::Done(_) => TableResponse::Unavailable,
    }
}

fn answered(outcome: SwitchResult<TableResponse>) -> TableResponse {
    outcome.unwrap_or_else(|error| {
        metrics::count_retry(error.kind);
        TableResponse::Unavailable
    })
}
