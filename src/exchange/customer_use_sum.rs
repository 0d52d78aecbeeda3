//! Sums of what customers want and use of services.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::exchange::CustomerUseEntry;

/// The maximum number of customers with an entry of their own in one message. Their entries take
/// less than 1 KB.
const NAMED_CUSTOMERS_MAX: usize = 16;

/// What customers want and use, by the hashes of service and customer.
#[derive(Debug, Default)]
pub(crate) struct CustomerUseSum {
    by_key: IndexMap<(u64, u64), CustomerUseEntry>,
}

impl CustomerUseSum {
    /// Adds an entry to the one for the same customer of the same service.
    pub(crate) fn add(&mut self, entry: &CustomerUseEntry) {
        let key = entry.key();
        let sum = self.by_key.get(&key);
        let sum = sum.map_or(*entry, |sum| sum.combined_with(entry));
        self.by_key.insert(key, sum);
    }

    /// The entries to send: those of the customers that want most, and for each service one entry
    /// that combines all other customers, without their usual demand.
    pub(crate) fn into_bounded_entries(self) -> Vec<CustomerUseEntry> {
        let customers = self.customers_by_service();
        let (mut named, unnamed): (Vec<_>, Vec<_>) = self
            .by_key
            .into_values()
            .partition(|entry| entry.customer_hash != 0);
        named.sort_by_key(|entry| Reverse(entry.wanted_us_per_s));
        let surplus = named.split_off(named.len().min(NAMED_CUSTOMERS_MAX));
        let mut rest = Self::default();
        for entry in unnamed.into_iter().chain(surplus) {
            rest.add(&CustomerUseEntry {
                customer_hash: 0,
                customers: customers.get(&entry.service_hash).copied().unwrap_or(0),
                usual_us_per_s: 0,
                usual_call_us: 0,
                learned_s: 0,
                ..entry
            });
        }
        named.extend(rest.by_key.into_values());
        named
    }

    /// The number of customers of each service, which is at least the largest one in an entry.
    fn customers_by_service(&self) -> IndexMap<u64, u32> {
        let mut named: IndexMap<u64, u32> = IndexMap::new();
        let mut largest: IndexMap<u64, u32> = IndexMap::new();
        for entry in self.by_key.values() {
            *named.entry(entry.service_hash).or_default() += u32::from(entry.customer_hash != 0);
            let known = largest.entry(entry.service_hash).or_default();
            *known = entry.customers.max(*known);
        }
        for (service, count) in &mut named {
            let reported = largest.get(service).copied().unwrap_or(0);
            *count = reported.max(*count);
        }
        named
    }
}

impl FromIterator<CustomerUseEntry> for CustomerUseSum {
    fn from_iter<I: IntoIterator<Item = CustomerUseEntry>>(entries: I) -> Self {
        let mut sum = Self::default();
        for entry in entries {
            sum.add(&entry);
        }
        sum
    }
}

impl CustomerUseEntry {
    /// The hashes of service and customer.
    pub(crate) fn key(&self) -> (u64, u64) {
        (self.service_hash, self.customer_hash)
    }

    /// Whether the customer wants or uses something.
    pub(crate) fn is_active(&self) -> bool {
        self.wanted_us_per_s > 0 || self.used_us_per_s > 0
    }

    /// The entry after the customer has stopped.
    pub(crate) fn ended(self) -> Self {
        Self {
            customers: 0,
            wanted_us_per_s: 0,
            used_us_per_s: 0,
            call_us: 0,
            ..self
        }
    }

    /// Combines the entries of two senders for the same customer, or of two customers that are
    /// reported together: adds what they want and use, and keeps the usual demand that was learned
    /// for longer.
    fn combined_with(&self, other: &Self) -> Self {
        let learned_longer = if other.learned_s > self.learned_s {
            other
        } else {
            self
        };
        Self {
            customers: self.customers.max(other.customers),
            wanted_us_per_s: self.wanted_us_per_s.saturating_add(other.wanted_us_per_s),
            used_us_per_s: self.used_us_per_s.saturating_add(other.used_us_per_s),
            call_us: weighted_mean(
                (self.call_us, self.wanted_us_per_s),
                (other.call_us, other.wanted_us_per_s),
            ),
            usual_us_per_s: learned_longer.usual_us_per_s,
            usual_call_us: learned_longer.usual_call_us,
            learned_s: learned_longer.learned_s,
            ..*self
        }
    }
}

/// The mean of two values with their weights; 0 if both weights are 0.
fn weighted_mean((a, weight_a): (u64, u64), (b, weight_b): (u64, u64)) -> u64 {
    let weighted = |value: u64, weight: u64| u128::from(value) * u128::from(weight);
    let sum = weighted(a, weight_a) + weighted(b, weight_b);
    let weights = u128::from(weight_a) + u128::from(weight_b);
    u64::try_from(sum.checked_div(weights).unwrap_or(0)).unwrap_or(u64::MAX)
}
