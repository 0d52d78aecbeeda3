//! Fairness between customers.

use indexmap::IndexMap;

use crate::load::player::Sample;

/// Demand, service received and fair share of one customer, in prompt tokens.
#[derive(Clone, Debug, Default)]
struct Account {
    wanted: f64,
    got: f64,
    fair: f64,
}

/// Returns Jain's index over customers, and the least fraction of its fair share that a customer
/// got.
///
/// The tokens that all customers got together are divided evenly, and what one customer does not
/// demand goes to the others (max-min fairness). The figure of a customer is what it got divided by
/// that share, at most 1.
pub(crate) fn fairness(samples: &[Sample]) -> (f64, f64) {
    let mut accounts: IndexMap<&str, Account> = IndexMap::new();
    for sample in samples {
        let account = accounts.entry(&sample.ask.customer).or_default();
        let tokens = sample.ask.prompt_tokens as f64;
        account.wanted += tokens;
        if sample.is_good() {
            account.got += tokens;
        }
    }
    let mut accounts: Vec<Account> = accounts.into_values().collect();
    deal(&mut accounts);
    let of_fair = |account: &Account| (account.got / account.fair).min(1.0);
    let figures: Vec<f64> = accounts
        .iter()
        .filter(|account| account.fair > 0.0)
        .map(of_fair)
        .collect();
    let least = figures.iter().copied().fold(1.0, f64::min);
    (jain(&figures), least)
}

fn deal(accounts: &mut [Account]) {
    accounts.sort_by(|a, b| a.wanted.total_cmp(&b.wanted));
    let mut left: f64 = accounts.iter().map(|account| account.got).sum();
    let count = accounts.len();
    for (at, account) in accounts.iter_mut().enumerate() {
        account.fair = account.wanted.min(left / (count - at) as f64);
        left -= account.fair;
    }
}

fn jain(figures: &[f64]) -> f64 {
    let sum: f64 = figures.iter().sum();
    let squares: f64 = figures.iter().map(|figure| figure * figure).sum();
    if squares == 0.0 {
        return 0.0;
    }
    sum * sum / (figures.len() as f64 * squares)
}
