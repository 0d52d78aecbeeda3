//! Engines whose answers get lost, repeated and crossed on their way.

use banyanarch::control::outcome::AnswerCheck;
use banyanarch::control::outcome::AnswerStep;
use banyanarch::units::AttemptId;
use banyanarch::upstream::ResponseEvent;
use proptest::prelude::Strategy;
use proptest::prop_oneof;

const ATTEMPTS: u64 = 2;
const TOKENS: u64 = 12;

/// What arrives next on the connection of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Arrival {
    /// The next piece of `count` tokens.
    Next { count: u64 },
    /// A piece from anywhere in the answer: late, early or repeated.
    Stray { offset: u64, count: u64 },
    /// A piece of another attempt's answer.
    Crossed { offset: u64, count: u64 },
    /// The connection breaks, and the stream is resumed where the caller is.
    Resumed,
    /// The last event: its offset and the end mark.
    Last,
    /// The end mark of another attempt.
    CrossedLast,
}

pub(crate) fn arrival() -> impl Strategy<Value = (u64, Arrival)> {
    let arrival = prop_oneof![
        6 => (1..4_u64).prop_map(|count| Arrival::Next { count }),
        2 => (0..TOKENS, 0..4_u64).prop_map(|(offset, count)| Arrival::Stray { offset, count }),
        2 => (0..TOKENS, 0..4_u64).prop_map(|(offset, count)| Arrival::Crossed { offset, count }),
        1 => proptest::strategy::Just(Arrival::Resumed),
        1 => proptest::strategy::Just(Arrival::Last),
        1 => proptest::strategy::Just(Arrival::CrossedLast),
    ];
    (0..ATTEMPTS, arrival)
}

/// The answers of two callers.
pub(crate) struct AnswerWorld {
    checks: Vec<AnswerCheck>,
    sent_tokens: Vec<u64>,
    got: Vec<String>,
    is_whole: Vec<bool>,
}

impl AnswerWorld {
    pub(crate) fn new() -> Self {
        let check = |attempt: u64| AnswerCheck::for_model(AttemptId(attempt.into()));
        Self {
            checks: (0..ATTEMPTS).map(check).collect(),
            sent_tokens: vec![0; 2],
            got: vec![String::new(); 2],
            is_whole: vec![false; 2],
        }
    }

    pub(crate) fn arrive(&mut self, attempt: u64, arrival: Arrival) {
        let at = usize::try_from(attempt).unwrap();
        let other = (attempt + 1) % ATTEMPTS;
        match arrival {
            Arrival::Next { count } => {
                let offset = self.sent_tokens[at];
                let count = count.min(TOKENS - offset);
                self.sent_tokens[at] += count;
                self.take(at, tokens(attempt, offset, count));
            }
            Arrival::Stray { offset, count } => {
                self.take(at, tokens(attempt, offset, count.min(TOKENS - offset)));
            }
            Arrival::Crossed { offset, count } => {
                self.take(at, tokens(other, offset, count.min(TOKENS - offset)));
            }
            Arrival::Resumed => self.sent_tokens[at] = self.checks[at].offset_tokens(),
            Arrival::Last => self.take_last(at, attempt),
            Arrival::CrossedLast => {
                self.take(at, end(other));
            }
        }
    }

    fn take_last(&mut self, at: usize, attempt: u64) {
        if self.take(at, tokens(attempt, TOKENS, 0)) {
            self.take(at, end(attempt));
        }
    }

    /// Returns whether the stream goes on. After a fault it is resumed.
    fn take(&mut self, at: usize, event: ResponseEvent) -> bool {
        match self.checks[at].on_event(event) {
            AnswerStep::Forward(ResponseEvent::Tokens { text, .. }) => self.got[at].push_str(&text),
            AnswerStep::Forward(other) => panic!("{other:?} is no part of a model's answer"),
            AnswerStep::Skip => (),
            AnswerStep::End(_) => self.is_whole[at] = true,
            AnswerStep::Fault(_) => {
                self.sent_tokens[at] = self.checks[at].offset_tokens();
                return false;
            }
        }
        true
    }

    /// Every caller has the beginning of its own answer, and all of it if it was told so.
    pub(crate) fn check(&self) {
        for attempt in 0..ATTEMPTS {
            let at = usize::try_from(attempt).unwrap();
            let whole = text(attempt, 0, TOKENS);
            assert!(
                whole.starts_with(&self.got[at]),
                "{attempt} got {}",
                self.got[at]
            );
            assert!(
                !self.is_whole[at] || self.got[at] == whole,
                "{attempt} is short"
            );
            assert_eq!(self.checks[at].on_stream_end().is_ok(), self.is_whole[at]);
        }
    }
}

/// Each token tells whose it is and where it stands.
fn text(attempt: u64, offset: u64, count: u64) -> String {
    (offset..offset + count)
        .map(|token| format!("{attempt}:{token} "))
        .collect()
}

fn tokens(attempt: u64, offset_tokens: u64, count: u64) -> ResponseEvent {
    ResponseEvent::Tokens {
        attempt: AttemptId(attempt.into()),
        offset_tokens,
        count,
        text: text(attempt, offset_tokens, count),
    }
}

fn end(attempt: u64) -> ResponseEvent {
    ResponseEvent::End {
        attempt: Some(AttemptId(attempt.into())),
        finish_reason: "stop".to_owned(),
        prompt_tokens: 0,
        cached_tokens: 0,
    }
}
