//! A queue of events for simulations with a manual clock.

#![allow(dead_code, unreachable_pub)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events ordered by time; events of the same time keep their order of insertion.
pub struct EventQueue<E> {
    order: BinaryHeap<Reverse<(Duration, usize)>>,
    events: Vec<Option<E>>,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            order: BinaryHeap::new(),
            events: Vec::new(),
        }
    }
}

impl<E> EventQueue<E> {
    pub fn push(&mut self, at: Duration, event: E) {
        self.order.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    /// Removes and returns the next event that is due by `end`, with its time.
    pub fn pop_until(&mut self, end: Duration) -> Option<(Duration, E)> {
        let Reverse((at, index)) = *self.order.peek()?;
        if at > end {
            return None;
        }
        self.order.pop();
        let event = self.events[index].take()?;
        Some((at, event))
    }
}
