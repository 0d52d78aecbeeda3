//! Ids that people choose.

use crate::units::macros::name_newtype;

name_newtype!(
    /// One of the system's own processes, by the name its settings give it.
    HostId,
    "a host name"
);
name_newtype!(
    /// A part of the site that can be cut off as a whole.
    FailureDomainId,
    "a failure domain name"
);
name_newtype!(
    /// Who a request is served for.
    CustomerId,
    "a customer name"
);
name_newtype!(
    /// One life of a back end, from its start to its end: a model engine or one instance of a plain
    /// service. All that hosts know of an upstream they know of this life alone.
    UpstreamId,
    "an upstream id"
);
name_newtype!(
    /// What an upstream calls itself; it may start again under the same name.
    UpstreamName,
    "an upstream name"
);
name_newtype!(
    /// What a caller asks for: a model, an adapter or a plain service of the manifest.
    TargetId,
    "a model or service name"
);
name_newtype!(
    /// A service that routes lead to: all upstreams that run the same thing.
    ServiceId,
    "a service name"
);
name_newtype!(
    /// The upstreams of one target in one failure domain that share a home host, written
    /// `DOMAIN/TARGET/SHARD`.
    PoolId,
    "a pool name"
);
name_newtype!(
    /// A caller's key that makes repeated sendings one request.
    IdempotencyKey,
    "an idempotency key of 1 to 128 characters out of A-Z a-z 0-9 . _ : @ / -"
);

impl PoolId {
    /// The name of shard `shard` of a target's upstreams in a failure domain.
    pub fn new(domain: &FailureDomainId, target: &TargetId, shard: u32) -> Self {
        Self(format!("{domain}/{target}/{shard}").into())
    }

    /// The target whose upstreams the pool holds; none if this is not the name of a pool.
    pub fn target(&self) -> Option<TargetId> {
        let (rest, _shard) = self.0.rsplit_once('/')?;
        let (_domain, target) = rest.split_once('/')?;
        target.parse().ok()
    }

    /// The failure domain of the pool's upstreams; none if this is not the name of a pool.
    pub fn domain(&self) -> Option<FailureDomainId> {
        self.0
            .split_once('/')
            .and_then(|(domain, _)| domain.parse().ok())
    }

    /// Stands for no pool: the answer of an earlier sending is read without a grant.
    pub fn placeholder() -> Self {
        Self("followed".into())
    }
}

impl UpstreamId {
    /// The id of one life of an upstream. `started` tells it from other lives under the same name;
    /// without it all of them are taken for one.
    pub fn of_instance(name: &UpstreamName, started: Option<u64>) -> Self {
        match started {
            Some(started) => Self(format!("{name}@{started}").into()),
            None => Self(name.0.clone()),
        }
    }
}

impl CustomerId {
    /// The customer that stands for all that the manifest does not name.
    pub fn fallback() -> Self {
        Self("default".into())
    }
}
