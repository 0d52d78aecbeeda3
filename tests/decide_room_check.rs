//! Which calls are let in while the places of a service run short.

use banyanarch::decide::RoomCheck;
use banyanarch::decide::RoomRequest;
use banyanarch::decide::ShareStanding;
use banyanarch::decide::check_room;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// The ratio of a customer that sends 60 times its usual.
const FLOOD: f64 = 40.0;

fn request(ratio: f64, priority_steps: u8, occupancy: f64) -> RoomRequest {
    RoomRequest {
        standing: ShareStanding { ratio },
        fitting_fraction: (1.0 / ratio).min(1.0),
        priority_steps,
        slots_taken: occupancy,
        capacity_taken: occupancy,
    }
}

/// The fraction of such calls that are let in.
fn admitted(request: &RoomRequest) -> f64 {
    let draws = 1_000;
    let is_admitted =
        |draw: &i32| check_room(request, f64::from(*draw) / f64::from(draws)) == RoomCheck::Admit;
    (0..draws).filter(is_admitted).count() as f64 / f64::from(draws)
}

/// Guards against refusals while there is room for all.
#[parameterized(
    within_the_share = { 1.0, 0.9 },
    above_the_share = { 2.0, 0.6 },
    flooding = { FLOOD, 0.6 },
)]
fn nobody_is_refused_while_there_is_room(ratio: f64, occupancy: f64) {
    assert!((admitted(&request(ratio, 0, occupancy)) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a customer above its share that takes the last places.
#[test]
fn the_last_places_are_kept_for_customers_within_their_share() {
    assert!(admitted(&request(1.0, 0, 0.94)) > 0.99);
    assert!(admitted(&request(1.1, 0, 0.94)) < 0.01);
    let refused = check_room(&request(FLOOD, 0, 0.9), 0.5);
    assert_eq!(refused, RoomCheck::AboveShare);
    assert_eq!(check_room(&request(0.5, 0, 1.1), 0.5), RoomCheck::Full);
}

#[test]
fn the_more_a_customer_wants_beyond_its_share_the_sooner_it_is_refused() {
    let admitted = [1.5, 3.0, FLOOD].map(|ratio| admitted(&request(ratio, 0, 0.8)));
    assert!(
        admitted.is_sorted_by(|one, other| one > other),
        "{admitted:?}"
    );
}

/// Guards against a more urgent kind of call that is served less often than a less urgent one.
#[test]
fn the_more_urgent_calls_are_refused_last() {
    for occupancy in [0.7, 0.8, 0.9, 0.95, 1.0, 1.1] {
        for ratio in [1.0, 3.0] {
            let admitted = [0, 1, 3].map(|steps| admitted(&request(ratio, steps, occupancy)));
            assert!(
                admitted.is_sorted_by(|one, other| one >= other),
                "{occupancy}: {admitted:?}"
            );
        }
    }
}

/// Places of a service that are each taken for one to three seconds, and hosts that learn of them
/// late.
struct Service {
    places: usize,
    /// When each taken place is free again, in steps of 10 ms.
    taken_until: Vec<u32>,
    /// The numbers of taken places in the last steps, as hosts learn them.
    history: Vec<usize>,
}

impl Service {
    const HOLD_STEPS: std::ops::Range<u32> = 100..300;
    const DELAY_STEPS: usize = 10;

    fn occupancy_known(&self) -> f64 {
        let known = self.history.len().saturating_sub(Self::DELAY_STEPS);
        let taken = self.history.get(known).copied().unwrap_or(0);
        taken as f64 / self.places as f64
    }
}

/// Guards against one customer that takes all places: those of 23 others at their usual load go on
/// being served while it sends 60 times its usual and two fifths of the places are lost.
#[test]
fn customers_within_their_share_are_served_while_one_floods() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut service = Service {
        places: 389,
        taken_until: Vec::new(),
        history: Vec::new(),
    };
    let (mut others, mut others_served, mut flood_served) = (0, 0, 0);
    for step in 0..1_500 {
        service.taken_until.retain(|until| *until > step);
        service.history.push(service.taken_until.len());
        // 104 calls a second of others, which take about half of the places, and 534 of the one.
        let flood_per_step = if step < 500 { 0.1 } else { 5.34 };
        let calls = [(0.8, 1.04, true), (FLOOD, flood_per_step, false)];
        for (ratio, per_step, is_other) in calls {
            let mut due: f64 = per_step + rng.random::<f64>();
            while due >= 1.0 {
                due -= 1.0;
                let request = request(ratio, 0, service.occupancy_known());
                let is_admitted = check_room(&request, rng.random()) == RoomCheck::Admit;
                let has_place = service.taken_until.len() < service.places;
                let is_served = is_admitted && has_place;
                if is_served {
                    let hold = rng.random_range(Service::HOLD_STEPS);
                    service.taken_until.push(step + hold);
                }
                others += u32::from(is_other);
                others_served += u32::from(is_other && is_served);
                flood_served += u32::from(!is_other && is_served);
            }
        }
    }
    let served = f64::from(others_served) / f64::from(others);
    assert!(served > 0.95, "{served}, {flood_served} of the flood");
    // What the others leave free is not wasted.
    assert!(flood_served > 500, "{flood_served}");
}
