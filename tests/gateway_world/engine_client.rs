//! A fake client for orders to engines, which records reservations and requests.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use banyanarch::gateway::EngineAnswer;
use banyanarch::gateway::EngineClient;
use banyanarch::gateway::EngineClientError;
use banyanarch::gateway::EngineEndpoint;
use banyanarch::gateway::EngineReport;
use banyanarch::gateway::UpstreamNotices;
use banyanarch::units::Slowdown;
use banyanarch::units::Tokens;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use indexmap::IndexMap;

#[derive(Default)]
pub struct FakeEngineClient {
    reserved: Mutex<IndexMap<(SocketAddr, String), u64>>,
    reservations_made: Mutex<usize>,
    refuses_from: Mutex<Option<usize>>,
    silent: Mutex<Option<SocketAddr>>,
    reserve_requests: Mutex<IndexMap<SocketAddr, usize>>,
    slowdowns: Mutex<IndexMap<SocketAddr, Slowdown>>,
    report_requests: Mutex<IndexMap<SocketAddr, usize>>,
    notices: Mutex<IndexMap<SocketAddr, UpstreamNotices>>,
}

impl FakeEngineClient {
    /// The number of tokens reserved now.
    pub fn reserved_tokens(&self) -> u64 {
        self.reserved.lock().unwrap().values().sum()
    }

    /// The number of reservations and renewals that succeeded.
    pub fn reservations_made(&self) -> usize {
        *self.reservations_made.lock().unwrap()
    }

    /// Makes an engine respond to no more orders.
    pub fn set_silent(&self, engine: SocketAddr) {
        *self.silent.lock().unwrap() = Some(engine);
    }

    /// How often an engine was requested to reserve memory or to renew a reservation.
    pub fn reserve_requests(&self, engine: SocketAddr) -> usize {
        let requests = self.reserve_requests.lock().unwrap();
        requests.get(&engine).copied().unwrap_or(0)
    }

    /// Makes an engine report that it works this much slower than its model.
    pub fn set_slowdown(&self, engine: SocketAddr, slowdown: Slowdown) {
        self.slowdowns.lock().unwrap().insert(engine, slowdown);
    }

    /// Makes an engine state this about itself in its responses to reservations.
    pub fn set_notices(&self, engine: SocketAddr, notices: UpstreamNotices) {
        self.notices.lock().unwrap().insert(engine, notices);
    }

    /// How often engines were requested for reports.
    pub fn report_requests(&self) -> usize {
        self.report_requests.lock().unwrap().values().sum()
    }

    /// How often an engine was requested for a report.
    pub fn report_requests_of(&self, engine: SocketAddr) -> usize {
        let requests = self.report_requests.lock().unwrap();
        requests.get(&engine).copied().unwrap_or(0)
    }

    /// Refuses every reservation once this many have been made.
    pub fn refuse_from(&self, made: usize) {
        *self.refuses_from.lock().unwrap() = Some(made);
    }
}

impl EngineClient for FakeEngineClient {
    fn reserve<'a>(
        &'a self,
        engine: EngineEndpoint<'a>,
        name: &'a str,
        tokens: Tokens,
        _: Duration,
    ) -> BoxFuture<'a, EngineAnswer<()>> {
        let engine = engine.addr;
        *self
            .reserve_requests
            .lock()
            .unwrap()
            .entry(engine)
            .or_default() += 1;
        if *self.silent.lock().unwrap() == Some(engine) {
            let silent = EngineClientError::NoAnswer("silent".to_owned());
            return async { Err(silent).into() }.boxed();
        }
        let mut made = self.reservations_made.lock().unwrap();
        let is_refused = self
            .refuses_from
            .lock()
            .unwrap()
            .is_some_and(|max| *made >= max);
        if is_refused {
            let refused = EngineClientError::Refused("no memory".to_owned());
            return async { Err(refused).into() }.boxed();
        }
        *made += 1;
        let key = (engine, name.to_owned());
        self.reserved.lock().unwrap().insert(key, tokens.0);
        let notices = self.notices.lock().unwrap().get(&engine).cloned();
        let answer = EngineAnswer {
            notices: notices.unwrap_or_default(),
            result: Ok(()),
        };
        async { answer }.boxed()
    }

    fn report<'a>(
        &'a self,
        engine: EngineEndpoint<'a>,
    ) -> BoxFuture<'a, EngineAnswer<EngineReport>> {
        let engine = engine.addr;
        *self
            .report_requests
            .lock()
            .unwrap()
            .entry(engine)
            .or_default() += 1;
        let known = self.slowdowns.lock().unwrap().get(&engine).copied();
        let slowdown = known.unwrap_or(Slowdown::NONE);
        async move { Ok(EngineReport { slowdown }).into() }.boxed()
    }

    fn release<'a>(
        &'a self,
        engine: EngineEndpoint<'a>,
        name: &'a str,
    ) -> BoxFuture<'a, EngineAnswer<()>> {
        let key = (engine.addr, name.to_owned());
        self.reserved.lock().unwrap().swap_remove(&key);
        async { Ok(()).into() }.boxed()
    }
}
