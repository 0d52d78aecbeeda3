//! Ids that are chosen by people.

use crate::units::macros::name_newtype;

name_newtype!(
    /// The name of one of the system's own processes, as given in its settings.
    HostId,
    "a host name"
);
name_newtype!(
    /// The name of a failure domain: a part of the site that can be cut off as a whole.
    FailureDomainId,
    "a failure domain name"
);
name_newtype!(
    /// The name of a region: one or more failure domains under the same law or on the same site.
    RegionId,
    "a region name"
);
name_newtype!(
    /// The name of the customer that a request is served for.
    CustomerId,
    "a customer name"
);
name_newtype!(
    /// The id of one instance of an upstream, from its start to its end: a model engine, or an
    /// instance of a plain service. State that hosts keep about an upstream applies to this
    /// instance only.
    UpstreamId,
    "an upstream id"
);
name_newtype!(
    /// The name that an upstream gives itself. A restarted upstream may use the same name again.
    UpstreamName,
    "an upstream name"
);
name_newtype!(
    /// The name of what a caller requests: a model, an adapter or a plain service of the manifest.
    TargetId,
    "a model or service name"
);
name_newtype!(
    /// The name of a service that routes lead to; all of its upstreams are interchangeable.
    ServiceId,
    "a service name"
);
name_newtype!(
    /// The name of a pool, written `DOMAIN/TARGET/SHARD`: the upstreams of one target in one
    /// failure domain that share a home host.
    PoolId,
    "a pool name"
);
name_newtype!(
    /// The key with which a caller marks repeated sends as the same request.
    IdempotencyKey,
    "an idempotency key of 1 to 128 characters out of A-Z a-z 0-9 . _ : @ / -"
);

impl CustomerId {
    /// The account of requests that belong to no customer. No customer can have its name, which
    /// contains characters that names do not.
    pub fn none() -> Self {
        Self("(none)".into())
    }
}

impl ServiceId {
    /// The name under which the calls of one lane of the service are accounted.
    pub fn lane(&self, lane: &str) -> Self {
        Self(format!("{self}/{lane}").into())
    }
}

impl PoolId {
    /// The name of the pool that holds shard `shard` of a target's upstreams in a failure domain.
    pub fn new(domain: &FailureDomainId, target: &TargetId, shard: u32) -> Self {
        Self(format!("{domain}/{target}/{shard}").into())
    }

    /// The target whose upstreams the pool contains; none if the text is not a pool name.
    pub fn target(&self) -> Option<TargetId> {
        let (rest, _shard) = self.0.rsplit_once('/')?;
        let (_domain, target) = rest.split_once('/')?;
        target.parse().ok()
    }

    /// The failure domain of the pool's upstreams; none if the text is not a pool name.
    pub fn domain(&self) -> Option<FailureDomainId> {
        self.0
            .split_once('/')
            .and_then(|(domain, _)| domain.parse().ok())
    }

    /// A placeholder for a request that needs no grant of any pool, because it reads the answer to
    /// an earlier send of the same request.
    pub fn placeholder() -> Self {
        Self("followed".into())
    }
}

impl UpstreamId {
    /// The id of one instance of an upstream. The start time distinguishes instances of the same
    /// name; without it, all of them count as one.
    pub fn of_instance(name: &UpstreamName, started_at_ms: Option<u64>) -> Self {
        match started_at_ms {
            Some(started) => Self(format!("{name}@{started}").into()),
            None => Self(name.0.clone()),
        }
    }
}

impl CustomerId {
    /// The customer that stands for all customers that the manifest does not name.
    pub fn fallback() -> Self {
        Self("default".into())
    }
}
