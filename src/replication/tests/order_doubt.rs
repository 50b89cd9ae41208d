//! What is known of an order that the engine may have accepted late.

use crate::fleet::{EngineHoldings, HeldLayers, ModelVersion, WeightsVersion};
use crate::platform::EngineReport;
use crate::replication::chunk_staging::StagingCheck;
use crate::replication::engine_incarnation::EngineIncarnation;
use crate::replication::engine_monitor::EngineState;
use crate::replication::order_doubt::{LoadPhase, OrderDoubt, OrderNumber, ReleaseLayer};
use crate::replication::weights_retirement::layer_chunks;
use crate::time::ClockTime;

const CHUNKS: u32 = 6;
const LAYERS: u32 = 4;

fn number(accepted_before: u64) -> OrderNumber {
    OrderNumber {
        incarnation: EngineIncarnation::default(),
        accepted_before,
    }
}

fn check(version: u64, corrupt: &[u32]) -> StagingCheck {
    StagingCheck {
        target: ModelVersion {
            model: "m".into(),
            version: WeightsVersion(version),
        },
        range: 0..CHUNKS,
        checked_at: ClockTime(0),
        corrupt: corrupt.to_vec(),
    }
}

fn state(orders_accepted: u64, is_busy: bool, version: u64) -> EngineState {
    let held = HeldLayers {
        from: 0,
        to: LAYERS,
        version: WeightsVersion(version),
    };
    EngineState {
        report: EngineReport {
            holdings: EngineHoldings {
                models: Vec::new(),
                layers: vec![held],
            },
            start_time: None,
            is_busy,
            orders_accepted,
            queued: 0,
            active: 0,
            pace: 1.0,
        },
        incarnation: EngineIncarnation::default(),
        queried_at: ClockTime(0),
    }
}

/// Guards against trusting a load because the engine had not accepted its order at first.
#[test]
fn an_accepted_order_is_followed_until_what_it_loaded_is_replaced() {
    let doubt = OrderDoubt::new(number(3), &check(2, &[]));
    assert!(!doubt.number.was_accepted(&state(3, false, 1)));
    for accepted in [state(4, true, 1), state(4, false, 2), state(5, false, 3)] {
        assert!(doubt.number.was_accepted(&accepted));
    }
    assert_eq!(doubt.phase(&state(4, true, 1)), LoadPhase::InProgress);
    assert_eq!(doubt.phase(&state(4, false, 2)), LoadPhase::Loaded);
    assert_eq!(doubt.phase(&state(5, false, 3)), LoadPhase::Released);
    let restarted = EngineState {
        incarnation: EngineIncarnation::default().next(),
        ..state(4, false, 2)
    };
    assert!(!doubt.number.was_accepted(&restarted));
}

/// Guards against trusting a load because its corrupt chunks were staged again after its order.
#[test]
fn chunks_replaced_after_an_order_are_remembered() {
    let mut doubt = OrderDoubt::new(number(3), &check(2, &[1]));
    assert!(!doubt.has_corrupt(), "replaced before the order");
    doubt.note_check(&check(2, &[1]));
    let repeated = OrderDoubt::new(number(3), &check(2, &[])).merge(Some(&doubt));
    assert!(repeated.has_corrupt());
    let mut other = OrderDoubt::new(number(3), &check(3, &[])).merge(Some(&doubt));
    assert!(!other.has_corrupt(), "another version");
    other.note_check(&check(4, &[]));
    assert!(other.has_corrupt(), "all chunks were replaced");
}

/// Guards against trusting a layer that an earlier order loaded because a later order is accepted in
/// time.
#[test]
fn only_an_earlier_order_that_loaded_corrupt_chunks_outlasts_the_next() {
    let mut doubt = OrderDoubt::new(number(3), &check(2, &[]));
    assert!(!doubt.outlasts(number(4)));
    doubt.note_corrupt(&[5]);
    assert!(doubt.outlasts(number(4)));
    assert!(!doubt.outlasts(number(3)), "the engine refuses it now");
    let unanswered = OrderDoubt::new(number(4), &check(2, &[])).merge(Some(&doubt));
    assert!(unanswered.outlasts(number(4)), "the earlier was accepted");
}

/// Guards against keeping a layer that shares a corrupt chunk with another layer, or one that the
/// engine does not load again because it holds it.
#[test]
fn the_last_layer_to_be_kept_is_intact_or_is_loaded_again() {
    let complete = state(4, false, 2).report.holdings;
    let mut doubt = OrderDoubt::new(number(3), &check(2, &[]));
    let layer_of = |doubt: &OrderDoubt, holdings| doubt.release_layer(holdings, CHUNKS, LAYERS);
    assert_eq!(layer_of(&doubt, &complete), ReleaseLayer::Held(0));
    doubt.note_corrupt(&[1]);
    assert_eq!(layer_of(&doubt, &complete), ReleaseLayer::Held(2));
    doubt.note_corrupt(&[4]);
    let first = layer_of(&doubt, &complete);
    let kept = holdings_of(&[first.layer()]);
    let doubt = doubt.after_release(first, layer_chunks(first.layer(), CHUNKS, LAYERS));
    assert!(!doubt.is_released(&kept, CHUNKS, LAYERS), "it is corrupt");
    let second = layer_of(&doubt, &kept);
    let ReleaseLayer::Loaded(loaded) = second else {
        panic!("{second:?}");
    };
    assert_ne!(loaded, first.layer());
    let doubt = doubt.after_release(second, layer_chunks(loaded, CHUNKS, LAYERS));
    assert!(doubt.is_released(&holdings_of(&[loaded]), CHUNKS, LAYERS));
    let both = holdings_of(&[first.layer(), loaded]);
    assert!(!doubt.is_released(&both, CHUNKS, LAYERS), "one is kept");
    assert_eq!(layer_of(&doubt, &both), ReleaseLayer::Held(loaded));
}

/// Guards against verifying a load by the chunks of one layer, because the answers to an order for
/// all layers and to one for that layer were lost.
#[test]
fn a_doubt_covers_the_chunks_of_all_orders_that_may_have_been_accepted() {
    let all = OrderDoubt::new(number(3), &check(2, &[]));
    let layer = StagingCheck {
        range: layer_chunks(0, CHUNKS, LAYERS),
        ..check(2, &[])
    };
    let merged = OrderDoubt::new(number(3), &layer).merge(Some(&all));
    assert_eq!(merged.range, 0..CHUNKS);
}

fn holdings_of(layers: &[u32]) -> EngineHoldings {
    let layers = layers.iter().map(|layer| HeldLayers {
        from: *layer,
        to: layer + 1,
        version: WeightsVersion(2),
    });
    EngineHoldings {
        models: Vec::new(),
        layers: layers.collect(),
    }
}
