//! Fairness between customers.

use indexmap::IndexMap;

use crate::load::player::Sample;

/// Demand, service received and fair share of one customer, in prompt tokens.
#[derive(Clone, Debug, Default)]
struct CustomerUsage {
    demanded: f64,
    received: f64,
    fair_share: f64,
}

/// Returns Jain's index over customers, and the least fraction of its fair share that a customer
/// received.
///
/// The prompt tokens that all customers received together are divided evenly, and what one customer
/// does not demand goes to the others (max-min fairness). The fraction of a customer is what it
/// received divided by its fair share, at most 1.
pub(crate) fn fairness(samples: &[Sample]) -> (f64, f64) {
    let mut usages: IndexMap<&str, CustomerUsage> = IndexMap::new();
    for sample in samples {
        let usage = usages.entry(&sample.request.customer).or_default();
        let tokens = sample.request.prompt_tokens as f64;
        usage.demanded += tokens;
        if sample.is_good() {
            usage.received += tokens;
        }
    }
    let mut usages: Vec<CustomerUsage> = usages.into_values().collect();
    compute_fair_shares(&mut usages);
    let fraction_of_fair_share =
        |usage: &CustomerUsage| (usage.received / usage.fair_share).min(1.0);
    let fractions: Vec<f64> = usages
        .iter()
        .filter(|usage| usage.fair_share > 0.0)
        .map(fraction_of_fair_share)
        .collect();
    let least = fractions.iter().copied().fold(1.0, f64::min);
    (jain_index(&fractions), least)
}

/// Sorts the customers by demand and sets the fair share of each: the tokens that all customers
/// received together, divided by max-min fairness.
fn compute_fair_shares(usages: &mut [CustomerUsage]) {
    usages.sort_by(|a, b| a.demanded.total_cmp(&b.demanded));
    let mut remaining: f64 = usages.iter().map(|usage| usage.received).sum();
    let count = usages.len();
    for (index, usage) in usages.iter_mut().enumerate() {
        usage.fair_share = usage.demanded.min(remaining / (count - index) as f64);
        remaining -= usage.fair_share;
    }
}

/// Returns Jain's fairness index: 1 if all fractions are equal, 0 if all of them are 0.
fn jain_index(fractions: &[f64]) -> f64 {
    let sum: f64 = fractions.iter().sum();
    let squares: f64 = fractions.iter().map(|fraction| fraction * fraction).sum();
    if squares == 0.0 {
        return 0.0;
    }
    sum * sum / (fractions.len() as f64 * squares)
}
