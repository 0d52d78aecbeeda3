//! Tests of the fake service.

use std::time::Duration;
use std::time::Instant;

use standin::caller::CallOutcome;
use standin::caller::CallerRequest;
use standin::caller::RequestKind;
use standin::caller::send;
use standin::engine::RunEnd;
use standin::service::Service;
use standin::service::ServiceFaults;
use standin::service::ServiceOptions;
use yare::parameterized;

fn grant_request() -> CallerRequest {
    CallerRequest {
        number: 1,
        arrival: Duration::ZERO,
        kind: RequestKind::Service,
        customer: "film-studio".to_owned(),
        prompt_tokens: 20,
        prefix_group: 1,
        prefix_tokens: 0,
        max_tokens: 0,
        timeout: Duration::from_secs(5),
        repeatable: false,
        key: Some("grant-1".to_owned()),
    }
}

/// A call whose response is lost is still in the record, so a checker can tell that it ran; a
/// refused call is not.
#[parameterized(
    answered = { ServiceFaults::default(), Some(RunEnd::Completed), true },
    cut = { ServiceFaults { cut_one_in: 1, ..ServiceFaults::default() }, Some(RunEnd::Completed), false },
    failed = { ServiceFaults { fail_one_in: 1, ..ServiceFaults::default() }, Some(RunEnd::Failed), false },
    refused = { ServiceFaults { refuse: true, ..ServiceFaults::default() }, None, false },
)]
#[test_macro(tokio::test)]
async fn calls_that_ran_are_recorded(faults: ServiceFaults, end: Option<RunEnd>, completed: bool) {
    let service = Service::start(ServiceOptions::default()).await.unwrap();
    service.set_faults(faults);
    let request = grant_request();
    let result = send(service.addr(), &request, request.body(), Instant::now()).await;
    assert_eq!(result.outcome == CallOutcome::Completed, completed);
    assert_eq!(
        matches!(result.outcome, CallOutcome::NotRun { .. }),
        end.is_none()
    );
    let record = service.record();
    assert_eq!(record.first().and_then(|run| run.end), end);
    assert!(
        record
            .iter()
            .all(|run| run.key.as_deref() == Some("grant-1"))
    );
}
