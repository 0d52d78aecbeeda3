//! What an outcome in the decision log means, for people.

/// The cause that an outcome stands for, and what it says of the request.
pub(crate) fn cause(outcome: &str) -> &'static str {
    match outcome {
        "no_manifest" => "not run: the host had not read a manifest yet",
        "stopping" => "not run: the host was about to stop",
        "stale_knowledge" => "not run: the host could not renew its knowledge of the keys in time",
        "bad_head" => "rejected: the caller's head can't be understood",
        "no_route" => "rejected: no route of the manifest has this host name and path",
        "unknown_key" => "rejected: the key is missing, or nobody's by this manifest",
        "body_too_large" => "rejected: the body is larger than the manifest allows",
        "body_late" => "not run: the body did not come in time",
        "deadline" => "not run: it could not have been finished in the caller's time",
        "queue_full" => "not run: what waits at the engines would have made it late",
        "too_large" => "not run: its prompt needs more memory than all engines have",
        "no_upstream" => "not run: no upstream took it",
        "retry_budget" => "not run there: the budget for retries was spent",
        "poison" => "not run: it had crashed upstreams before",
        "time_up_not_run" => "not run: its time was up while it waited",
        "time_up" => "may have run: its time was up before the answer was complete",
        "unknown" => {
            "may have run: the upstream's answer was lost, and it was not to be sent again"
        }
        "broken" => "the answer broke off, and no other upstream could go on",
        "upstream_failure" => "the upstream's own failure, passed on",
        "caller_gone" => "the caller left before its answer was complete",
        _ => "not known to this version of the tool",
    }
}
