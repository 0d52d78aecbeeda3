//! The history of the operations on one key, for a linearizability check against a set-once value.

use banyanarch::units::AttemptId;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

/// An operation on a key, whose value is the attempt that holds it, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyOp {
    /// Claims the key for `by`; the answer names the attempt that holds the key, possibly `by`.
    Claim { by: AttemptId, held: AttemptId },
    /// Claims the key for `by` and gets no answer.
    UnansweredClaim { by: AttemptId },
    /// Gives the key back if `by` holds it.
    GiveBack { by: AttemptId },
}

struct SetOnce;

impl Specification for SetOnce {
    type State = Option<AttemptId>;
    type Operation = KeyOp;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &KeyOp, state: &Self::State) -> (bool, Self::State) {
        match operation {
            KeyOp::Claim { by, held } => {
                let now = state.unwrap_or(*by);
                (now == *held, if now == *held { Some(now) } else { *state })
            }
            KeyOp::UnansweredClaim { by } => (true, Some(state.unwrap_or(*by))),
            KeyOp::GiveBack { by } => (true, state.filter(|held| held != by)),
        }
    }
}

/// The recorded operations on one key; each operation is a process of its own.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyHistory {
    actions: Vec<(usize, Action<KeyOp>)>,
    open: Vec<(usize, KeyOp)>,
    process_count: usize,
}

impl KeyHistory {
    /// Records the start of an operation. `op` is also the operation that is checked if it never
    /// ends.
    pub(crate) fn begin(&mut self, op: KeyOp) {
        self.actions.push((self.process_count, Action::Call(op)));
        self.open.push((self.process_count, op));
        self.process_count += 1;
    }

    /// Records the answer to the claim of an attempt.
    pub(crate) fn end_claim(&mut self, by: AttemptId, held: AttemptId) {
        let is_claim = |(_, op): &(usize, KeyOp)| *op == KeyOp::UnansweredClaim { by };
        if let Some(at) = self.open.iter().position(is_claim) {
            let (process, _) = self.open.swap_remove(at);
            let end = Action::Response(KeyOp::Claim { by, held });
            self.actions.push((process, end));
        }
    }

    /// Checks whether some order of the operations explains all answers. An operation that has not
    /// ended may have taken effect at any time after its start; one that took no effect is ordered
    /// last.
    pub(crate) fn check_linearizable(mut self) -> bool {
        if self.actions.is_empty() {
            return true;
        }
        for (process, op) in self.open {
            self.actions.push((process, Action::Response(op)));
        }
        WGLChecker::<SetOnce>::is_linearizable(History::from_actions(self.actions))
    }
}
