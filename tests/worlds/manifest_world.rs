//! Hosts of a failure domain that spread manifests, while words come late, twice and not at all.

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
    /// A host's watch says something, maybe of long ago.
    Word { host: usize, age: u8 },
    /// A process is replaced.
    Restart { host: usize },
    /// The next messages are lost.
    Lose { messages: u32 },
    /// Messages take this long from now on, so that later ones overtake.
    Delay { ticks: u64 },
    /// Time passes.
    Pass { ticks: u64 },
}

pub(crate) fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => proptest::strategy::Just(Step::Publish),
        3 => (0..HOSTS, any::<u8>()).prop_map(|(host, age)| Step::Word { host, age: age % 4 }),
        1 => (0..HOSTS).prop_map(|host| Step::Restart { host }),
        1 => (1..8_u32).prop_map(|messages| Step::Lose { messages }),
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
    wire: Vec<(u64, usize, usize, Message)>,
    delay_ticks: u64,
    to_lose: u32,
}

impl ManifestWorld {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            clock: ManualClock::new(),
            tick: 0,
            published: Vec::new(),
            hosts: Vec::new(),
            wire: Vec::new(),
            delay_ticks: 0,
            to_lose: 0,
        };
        world.hosts = (0..HOSTS).map(|n| world.process(n)).collect();
        world
    }

    fn process(&self, number: usize) -> Host {
        let check = |_: &str| Ok(MANIFEST.clone());
        let rng = StdRng::seed_from_u64(self.tick);
        let now = self.clock.now();
        let mut manifests = ManifestController::new(Box::new(check), BYTES_PER_SECOND, rng, now);
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
            Step::Word { host, age } => self.word(host, age.into()),
            Step::Restart { host } => self.hosts[host] = self.process(host),
            Step::Lose { messages } => self.to_lose = messages,
            Step::Delay { ticks } => self.delay_ticks = ticks,
            Step::Pass { ticks } => (0..ticks).for_each(|_| self.pass()),
        }
    }

    fn word(&mut self, at: usize, age: usize) {
        let Some(index) = self.published.len().checked_sub(1 + age) else {
            return;
        };
        let published = self.published[index].clone();
        let word = ManifestRead::Published(published);
        let actions = self.hosts[at]
            .manifests
            .on_platform_read(word, self.clock.now());
        self.act(at, actions);
    }

    fn pass(&mut self) {
        self.tick += 1;
        self.clock.advance(TICK);
        let now = self.clock.now();
        let tick = self.tick;
        let due = self.wire.extract_if(.., |(at, ..)| *at <= tick);
        for (_, from, to, message) in due.collect::<Vec<_>>() {
            let actions = self.hosts[to].manifests.handle(&name(from), message, now);
            self.act(to, actions);
        }
        for at in 0..HOSTS {
            let actions = self.hosts[at].manifests.tick(now);
            self.act(at, actions);
        }
    }

    fn act(&mut self, at: usize, actions: Vec<ManifestAction>) {
        for action in actions {
            match action {
                ManifestAction::Send { .. } if self.to_lose > 0 => self.to_lose -= 1,
                ManifestAction::Send { to, message } => {
                    let due = self.tick + self.delay_ticks;
                    self.wire.push((due, at, number(&to), message));
                }
                ManifestAction::ReadPlatform => (),
                ManifestAction::PutInForce(in_force) => {
                    let index = usize::try_from(in_force.generation.0 - 1).unwrap();
                    assert_eq!(in_force.hash, self.published[index].hash, "another text");
                    let is_newer = self.hosts[at].cluster_view.advance_manifest(in_force);
                    assert!(is_newer, "entry-{at} goes back to an earlier manifest");
                }
            }
        }
    }

    /// One host hears the newest; within six seconds all have it, and when its notices are lost, in
    /// half a minute.
    pub(crate) fn check(mut self) {
        (self.to_lose, self.delay_ticks) = (0, 0);
        self.step(Step::Pass { ticks: 10 });
        for (to_lose, ticks) in [(0, 60), (HOSTS - 1, 300)] {
            self.step(Step::Publish);
            self.to_lose = u32::try_from(to_lose).unwrap();
            self.word(0, 0);
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
