//! Simulated hosts of a failure domain that distribute manifests while messages are delayed,
//! reordered and lost.

use std::sync::LazyLock;
use std::time::Duration;

use banyanarch::clock::Clock;
use banyanarch::clock::ManualClock;
use banyanarch::cluster_view::ClusterView;
use banyanarch::control::manifests::ManifestAction;
use banyanarch::control::manifests::ManifestController;
use banyanarch::control::manifests::ManifestRead;
use banyanarch::manifest::Manifest;
use banyanarch::manifest::PublishedManifest;
use banyanarch::peer::Message;
use banyanarch::units::Generation;
use banyanarch::units::HostId;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fakes::make::host;

const HOSTS: usize = 4;
const TICK: Duration = Duration::from_millis(100);
static MANIFEST: LazyLock<Manifest> = LazyLock::new(|| {
    let text = include_str!("../../examples/desai/manifest.yaml");
    Manifest::parse(text, "example").unwrap()
});
const BYTES_PER_SECOND: u64 = 4_096;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// An operator publishes.
    Publish,
    /// The watch of a host delivers a manifest, maybe an old one.
    PlatformRead { host: usize, age: u8 },
    /// The process of a host is replaced.
    Restart { host: usize },
    /// The next messages are lost.
    DropMessages { count: u32 },
    /// Messages take this long from now on, so that later ones can overtake them.
    Delay { ticks: u64 },
    /// Time passes.
    Pass { ticks: u64 },
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => proptest::strategy::Just(Step::Publish),
        3 => (0..HOSTS, any::<u8>()).prop_map(|(host, age)| Step::PlatformRead { host, age: age % 4 }),
        1 => (0..HOSTS).prop_map(|host| Step::Restart { host }),
        1 => (1..8_u32).prop_map(|count| Step::DropMessages { count }),
        1 => (0..6_u64).prop_map(|ticks| Step::Delay { ticks }),
        4 => (1..20_u64).prop_map(|ticks| Step::Pass { ticks }),
    ]
}

struct Host {
    manifests: ManifestController,
    cluster_view: ClusterView,
}

pub(crate) struct ManifestWorld {
    clock: ManualClock,
    tick: u64,
    published: Vec<PublishedManifest>,
    hosts: Vec<Host>,
    in_flight: Vec<(u64, usize, usize, Message)>,
    delay_ticks: u64,
    drop_count: u32,
}

impl ManifestWorld {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            clock: ManualClock::new(),
            tick: 0,
            published: Vec::new(),
            hosts: Vec::new(),
            in_flight: Vec::new(),
            delay_ticks: 0,
            drop_count: 0,
        };
        world.hosts = (0..HOSTS).map(|n| world.new_process(n)).collect();
        world
    }

    fn new_process(&self, number: usize) -> Host {
        let validate = |_: &str| Ok(MANIFEST.clone());
        let rng = StdRng::seed_from_u64(self.tick);
        let now = self.clock.now();
        let mut manifests = ManifestController::new(Box::new(validate), BYTES_PER_SECOND, rng, now);
        let others = (0..HOSTS).filter(|n| *n != number).map(name);
        manifests.set_hosts(others.collect(), Vec::new());
        Host {
            manifests,
            cluster_view: ClusterView::new(),
        }
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Publish => {
                let after = Generation(self.published.len() as u64);
                let text = format!("# manifest {after}\n").repeat(40);
                let next = PublishedManifest::next_after(after, 0, &text);
                self.published.push(next);
            }
            Step::PlatformRead { host, age } => self.read_platform(host, age.into()),
            Step::Restart { host } => self.hosts[host] = self.new_process(host),
            Step::DropMessages { count } => self.drop_count = count,
            Step::Delay { ticks } => self.delay_ticks = ticks,
            Step::Pass { ticks } => (0..ticks).for_each(|_| self.run_tick()),
        }
    }

    fn read_platform(&mut self, at: usize, age: usize) {
        let Some(index) = self.published.len().checked_sub(1 + age) else {
            return;
        };
        let published = self.published[index].clone();
        let read = ManifestRead::Published(published);
        let actions = self.hosts[at]
            .manifests
            .on_platform_read(read, self.clock.now());
        self.perform(at, actions);
    }

    fn run_tick(&mut self) {
        self.tick += 1;
        self.clock.advance(TICK);
        let now = self.clock.now();
        let tick = self.tick;
        let due = self.in_flight.extract_if(.., |(at, ..)| *at <= tick);
        for (_, from, to, message) in due.collect::<Vec<_>>() {
            let actions = self.hosts[to].manifests.handle(&name(from), message, now);
            self.perform(to, actions);
        }
        for at in 0..HOSTS {
            let actions = self.hosts[at].manifests.tick(now);
            self.perform(at, actions);
        }
    }

    fn perform(&mut self, at: usize, actions: Vec<ManifestAction>) {
        for action in actions {
            match action {
                ManifestAction::Send { .. } if self.drop_count > 0 => self.drop_count -= 1,
                ManifestAction::Send { to, message } => {
                    let due = self.tick + self.delay_ticks;
                    self.in_flight.push((due, at, number(&to), message));
                }
                ManifestAction::ReadPlatform => (),
                ManifestAction::PutInForce(in_force) => {
                    let index = usize::try_from(in_force.generation.0 - 1).unwrap();
                    assert_eq!(
                        in_force.hash, self.published[index].hash,
                        "the hash is not that of the published text"
                    );
                    let is_newer = self.hosts[at].cluster_view.advance_manifest(in_force);
                    assert!(is_newer, "entry-{at} reverts to an earlier manifest");
                }
            }
        }
    }

    /// Checks that after one host has read the newest manifest, all hosts have it within six
    /// seconds, and within half a minute if its notices are lost.
    pub(crate) fn check(mut self) {
        (self.drop_count, self.delay_ticks) = (0, 0);
        self.step(Step::Pass { ticks: 10 });
        for (drop_count, ticks) in [(0, 60), (HOSTS - 1, 300)] {
            self.step(Step::Publish);
            self.drop_count = u32::try_from(drop_count).unwrap();
            self.read_platform(0, 0);
            self.step(Step::Pass { ticks });
            let newest = Some(Generation(self.published.len() as u64));
            for host in &self.hosts {
                let in_force = host
                    .cluster_view
                    .manifest()
                    .map(|manifest| manifest.generation);
                assert_eq!(in_force, newest);
            }
        }
    }
}

fn name(n: usize) -> HostId {
    host(&format!("entry-{n}"))
}

fn number(host: &HostId) -> usize {
    host.as_str().trim_start_matches("entry-").parse().unwrap()
}
