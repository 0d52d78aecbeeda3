//! What callers and hosts saw of one key, as a history of a set-once value for the checker.

use banyanarch::units::AttemptId;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

/// An operation on the value: the attempt that holds the key, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyOp {
    /// Asks for the key and is told who holds it now, maybe oneself.
    Claim { by: AttemptId, held: AttemptId },
    /// Asks for the key and never hears what came of it.
    ClaimUnheard { by: AttemptId },
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
            KeyOp::ClaimUnheard { by } => (true, Some(state.unwrap_or(*by))),
            KeyOp::GiveBack { by } => (true, state.filter(|held| held != by)),
        }
    }
}

/// Records the operations on one key; each has a process of its own.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyHistory {
    actions: Vec<(usize, Action<KeyOp>)>,
    open: Vec<(usize, KeyOp)>,
    processes: usize,
}

impl KeyHistory {
    /// An operation begins; what it begins as is what it is if it never ends.
    pub(crate) fn begin(&mut self, op: KeyOp) {
        self.actions.push((self.processes, Action::Call(op)));
        self.open.push((self.processes, op));
        self.processes += 1;
    }

    /// The claim of an attempt ends with an answer.
    pub(crate) fn end_claim(&mut self, by: AttemptId, held: AttemptId) {
        let is_it = |(_, op): &(usize, KeyOp)| *op == KeyOp::ClaimUnheard { by };
        if let Some(at) = self.open.iter().position(is_it) {
            let (process, _) = self.open.swap_remove(at);
            let end = Action::Response(KeyOp::Claim { by, held });
            self.actions.push((process, end));
        }
    }

    /// Whether some order of the operations explains all answers. What has not ended may have taken
    /// effect at any time since it began, or, put last, never as far as anybody saw.
    pub(crate) fn has_an_order(mut self) -> bool {
        if self.actions.is_empty() {
            return true;
        }
        for (process, op) in self.open {
            self.actions.push((process, Action::Response(op)));
        }
        WGLChecker::<SetOnce>::is_linearizable(History::from_actions(self.actions))
    }
}
