"""The ten guarantees of "What must always hold", their invariants and tests."""

import dataclasses

PROCESS_FAULTS = ("kill_entry", "kill_sidecar", "kill_engine", "pause_entry",
                  "pause_sidecar", "pause_engine")
LINK_FAULTS = ("cut_links", "stall_links")
PLATFORM_FAULTS = ("platform_down", "platform_slow", "platform_loses_answers")


@dataclasses.dataclass(frozen=True)
class Guarantee:
    """A guarantee; an empty part of a test selects all of its cases."""

    statement: str
    invariants: tuple  # names in the program
    tests: tuple  # (test program, part of its cases' names)
    faults: tuple  # kinds that the soak injects
    must_be_zero: tuple  # counts of the soak


GUARANTEES = (
    Guarantee(
        "Every admitted request finishes or fails within its time",
        ("final_answer_in_time", "no_job_waits_past_deadline",
         "sidecar_answers_within_deadline", "every_job_has_one_place"),
        (("job", ""), ("admission", "one final event in its time"),
         ("admission_rules", "deadline"), ("runs", "deadline"),
         ("runs", "whose link is lost")),
        PROCESS_FAULTS + LINK_FAULTS + PLATFORM_FAULTS + ("stall_engine",),
        ("late", "no_answer", "rolling_late")),
    Guarantee(
        "No engine leaks memory",
        ("memory_conserved", "memory_within_total",
         "running_memory_conserved", "engine_memory_owned",
         "group_ends_without_holds"),
        (("group", ""), ("admission_rules", "hold"), ("runs", "hold"),
         ("runs", "deletion"), ("standin_engine", "conserved")),
        PROCESS_FAULTS + LINK_FAULTS, ("kv_tokens_leaked", "stuck_deletions")),
    Guarantee(
        "A cold upstream gets no more work than it can take",
        ("started_within_limit", "limit_never_above_what_upstream_bears",
         "suspect_runs_alone"),
        (("admission", "cold"), ("admission", "cold start"),
         ("admission", "restart"), ("admission_rules", "initial limit"),
         ("cache_view_token_rate", "/token_rate/"),
         ("standin_engine", "cold")),
        ("cold_engine", "cold_domain", "kill_engine", "kill_sidecar",
         "crash_request", "engine_crashed"), ("cold_overload",)),
    Guarantee(
        "A failure domain that is taken out gets no new work",
        ("taken_out_domain_starts_nothing",
         "sidecar_draining_starts_nothing"),
        (("config", "/config/work/"), ("runs", "drain"),
         ("config_edit", "tak"), ("config_edit", "is applied"),
         ("admission_rules", "drain")),
        ("take_out",) + PLATFORM_FAULTS + ("pause_entry", "pause_sidecar"),
        ("started_in_taken_out_or_leaving",)),
    Guarantee(
        "Callers get the complete response to their own request",
        ("answer_whole_and_in_order", "group_answer_whole_and_in_order",
         "sidecar_one_final_answer", "group_parts_make_the_prompt"),
        (("job", ""), ("runs", "answer"), ("runs", "response"),
         ("runs", "stream"),
         ("upstream", "/engine/")),
        PROCESS_FAULTS + LINK_FAULTS + ("stall_engine",), ("wrong_answers",)),
    Guarantee(
        'A refusal that says "not run" is true',
        ("not_run_is_true", "sidecar_not_run_is_true"),
        (("job", "call"), ("runs", "not run"),
         ("http_client", "sent"), ("http_client", "retried"),
         ("claims", "not run")),
        PROCESS_FAULTS + LINK_FAULTS + PLATFORM_FAULTS, ("untrue_not_run",)),
    Guarantee(
        "A non-idempotent request runs at most once",
        ("claimed_by_one_attempt", "unrepeatable_sent_once",
         "sidecar_sends_once", "sidecar_only_latest_attempt_starts"),
        (("claims", ""), ("store", ""), ("job", "call"),
         ("runs", "repeated"), ("runs", "plain call"),
         ("http_client", "repeatable")),
        PROCESS_FAULTS + LINK_FAULTS + PLATFORM_FAULTS, ("repeated_orders",)),
    Guarantee(
        "An upstream that is leaving gets no new work",
        ("leaving_upstream_starts_nothing",
         "sidecar_draining_starts_nothing"),
        (("config", "leaving"), ("runs", "drain"),
         ("admission_rules", "drain")),
        ("leave", "roll_sidecar") + PLATFORM_FAULTS,
        ("started_in_taken_out_or_leaving",)),
    Guarantee(
        "A planned stop interrupts no request",
        ("entry_stop_cuts_off_nothing", "sidecar_stop_cuts_off_nothing"),
        (("node", ""), ("httpd", "are completed after"), ("runs", "drain")),
        ("roll_sidecar", "planned_stop"),
        ("rolling_cut_off", "rolling_still_ready", "bad_exits")),
    Guarantee(
        "An accepted configuration is in force and never reverts",
        ("document_version_never_falls", "accepted_change_held_at_once"),
        (("gossip", ""), ("watchers", ""), ("config_writer", "/changes/"),
         ("config_edit", "conflict"), ("rpc", "conflict")),
        ("race", "take_out", "leave", "wrong_hosts") + PLATFORM_FAULTS
        + PROCESS_FAULTS,
        ("versions_fallen", "late_in_force", "races_lost",
         "invisible_changes", "untyped_errors",
         "platform_calls_above_bound")),
)
