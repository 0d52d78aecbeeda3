//! Simulated engines whose answers are lost, repeated and mixed up on their way to the caller.

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
    /// The next piece, of `count` tokens.
    Next { count: u64 },
    /// A piece from anywhere in the answer: late, early or repeated.
    AnyOffset { offset: u64, count: u64 },
    /// A piece of the answer to another attempt.
    OtherAttempt { offset: u64, count: u64 },
    /// The connection breaks, and the stream is resumed at the offset of the caller.
    Resumed,
    /// The last event with its offset, and the end mark.
    Last,
    /// The end mark of another attempt.
    OtherAttemptLast,
}

pub(crate) fn arrival() -> impl Strategy<Value = (u64, Arrival)> {
    let arrival = prop_oneof![
        6 => (1..4_u64).prop_map(|count| Arrival::Next { count }),
        2 => (0..TOKENS, 0..4_u64).prop_map(|(offset, count)| Arrival::AnyOffset { offset, count }),
        2 => (0..TOKENS, 0..4_u64).prop_map(|(offset, count)| Arrival::OtherAttempt { offset, count }),
        1 => proptest::strategy::Just(Arrival::Resumed),
        1 => proptest::strategy::Just(Arrival::Last),
        1 => proptest::strategy::Just(Arrival::OtherAttemptLast),
    ];
    (0..ATTEMPTS, arrival)
}

/// The answers to the attempts of two callers.
pub(crate) struct AnswerWorld {
    checks: Vec<AnswerCheck>,
    sent_tokens: Vec<u64>,
    received: Vec<String>,
    is_complete: Vec<bool>,
}

impl AnswerWorld {
    pub(crate) fn new() -> Self {
        let check = |attempt: u64| AnswerCheck::for_model(AttemptId(attempt.into()));
        Self {
            checks: (0..ATTEMPTS).map(check).collect(),
            sent_tokens: vec![0; 2],
            received: vec![String::new(); 2],
            is_complete: vec![false; 2],
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
                self.deliver(at, tokens(attempt, offset, count));
            }
            Arrival::AnyOffset { offset, count } => {
                self.deliver(at, tokens(attempt, offset, count.min(TOKENS - offset)));
            }
            Arrival::OtherAttempt { offset, count } => {
                self.deliver(at, tokens(other, offset, count.min(TOKENS - offset)));
            }
            Arrival::Resumed => self.sent_tokens[at] = self.checks[at].offset_tokens(),
            Arrival::Last => self.deliver_last(at, attempt),
            Arrival::OtherAttemptLast => {
                self.deliver(at, end(other));
            }
        }
    }

    fn deliver_last(&mut self, at: usize, attempt: u64) {
        if self.deliver(at, tokens(attempt, TOKENS, 0)) {
            self.deliver(at, end(attempt));
        }
    }

    /// Delivers an event; returns whether the stream continues. After a fault the stream is
    /// resumed.
    fn deliver(&mut self, at: usize, event: ResponseEvent) -> bool {
        match self.checks[at].on_event(event) {
            AnswerStep::Forward(ResponseEvent::Tokens { text, .. }) => {
                self.received[at].push_str(&text);
            }
            AnswerStep::Forward(other) => panic!("{other:?} is not part of the answer of a model"),
            AnswerStep::Skip => (),
            AnswerStep::End(_) => self.is_complete[at] = true,
            AnswerStep::Fault(_) => {
                self.sent_tokens[at] = self.checks[at].offset_tokens();
                return false;
            }
        }
        true
    }

    /// Checks that every caller has the beginning of its own answer, and all of it if the answer
    /// was reported as complete.
    pub(crate) fn check(&self) {
        for attempt in 0..ATTEMPTS {
            let at = usize::try_from(attempt).unwrap();
            let expected = text(attempt, 0, TOKENS);
            assert!(
                expected.starts_with(&self.received[at]),
                "attempt {attempt} received {}",
                self.received[at]
            );
            assert!(
                !self.is_complete[at] || self.received[at] == expected,
                "the answer to attempt {attempt} is incomplete"
            );
            assert_eq!(
                self.checks[at].on_stream_end().is_ok(),
                self.is_complete[at]
            );
        }
    }
}

/// The text of some tokens; each token contains its attempt and its offset.
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
