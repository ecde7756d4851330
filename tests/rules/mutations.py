"""What carries each rule of docs/rules.md, how it is taken away, and the tests that must then fail."""

import dataclasses

COURSE, DISCONNECTS = "tests/soak/incident_course.py", "tests/soak/client_disconnects.py"
AFTER_ACKNOWLEDGEMENT, SETTINGS_IN_FORCE = "tests/soak/after_acknowledgement.py", "tests/soak/settings_in_force.py"
LOCAL_REPLIES, REPEATS = "tests/soak/local_replies.py", "tests/soak/repeats.py"


@dataclasses.dataclass(frozen=True)
class UnitTest:
    """`name`: SUITE::TEST in EXECUTABLE_test."""

    executable: str
    name: str

    def __str__(self) -> str:
        return f"{self.executable} {self.name}"


@dataclasses.dataclass(frozen=True)
class Script:
    """The word BUILD stands for the build's folder."""

    command: tuple[str, ...]

    def __str__(self) -> str:
        return " ".join(self.command)


def scenario(script: str, name: str) -> Script:
    return Script((script, "BUILD", "--only", name))


@dataclasses.dataclass(frozen=True)
class Mutation:
    """`old`, which stands once in `file`, becomes `new`."""

    name: str
    file: str
    old: str
    new: str
    guards: tuple[UnitTest | Script, ...]


MACHINE, HEADERS = "packages/request/include/request/request_machine.hpp", "packages/request/headers.cpp"
RETRY, ADMISSION = "packages/request/include/request/retry_state.hpp", "packages/request/admission.cpp"
IDENTITY = "packages/request/client_identity.cpp"
BALANCER, RECEIVER = "packages/load_balancing/load_balancer.cpp", "packages/proxy/response_receiver.cpp"
SENDER, WRITER = "packages/proxy/upstream_sender.cpp", "packages/proxy/response_writer.cpp"
KEY_TABLE, ACCEPTOR = "packages/idempotency/key_table.cpp", "packages/consensus/acceptor.cpp"
CONFIGURATION = "packages/configuration/compiled_configuration.cpp"
CLIENT_CONNECTIONS = "packages/proxy/client_connections.cpp"

SPOILED_RESPONSES = UnitTest("request", "headers::each_spoiled_response_is_recognized")
ONE_SPOILED = UnitTest("request", "request::one_message_spoiled_at_a_time_breaks_nothing")
SPOILED_REQUESTS = UnitTest("request", "admission::each_spoiled_request_is_refused")
HOMES = UnitTest("load_balancing", "load_balancer::prefers_own_zone_then_region_within_the_homes")

MUTATIONS = (
    # ---- MIXED ----
    Mutation("mixed-seal", HEADERS, "if (response.status < 300 && !is_sealed) return", "if (false) return", (SPOILED_RESPONSES,)),
    Mutation("mixed-other-id", HEADERS, "if (value != attempt_id) return", "if (false) return", (SPOILED_RESPONSES, ONE_SPOILED)),
    Mutation("mixed-whole-body", HEADERS, "length != response.body_bytes) return false;", "false) return false;",
             (SPOILED_RESPONSES,)),
    Mutation("mixed-bare-promise", HEADERS, "if (promises_not_run(response.status) || says_not_run) return", "if (false) return",
             (SPOILED_RESPONSES,)),
    Mutation("config-no-length", "packages/upstream/connection_pool.cpp", "if (!has_framing &&", "if (false &&",
             (UnitTest("proxy", "attempt_at_work::answer_that_ends_with_its_connection_is_delivered_whole"),)),
    Mutation("mixed-cut-short", HEADERS, "body_framing(response.headers, length) == BodyFraming::none;", "true;",
             (UnitTest("request", "headers::body_without_a_frame_ends_with_its_connection"),)),
    Mutation("mixed-surplus", RECEIVER, "may_be_kept = !has_surplus && ", "may_be_kept = ",
             (UnitTest("proxy", "attempt_at_work::bytes_behind_a_whole_answer_end_the_connection"),)),
    Mutation("mixed-late-answer", "packages/request/include/request/request_table.hpp",
             "if (request != nullptr && request->has_attempt_on(connection)) return request;",
             "if (request != nullptr) return request;",
             (UnitTest("request", "request_table::answer_on_another_connection_belongs_to_no_attempt"),)),
    Mutation("mixed-stored-answer", WRITER, "    if (colon == std::string::npos) continue;", "    continue;",
             (scenario(DISCONNECTS, "at work, keyed"),)),
    Mutation("mixed-lapsed-answer", "packages/idempotency/claim_quorum.cpp",
             "if (most_disks_of(holder) < majority()) return Standing::lapsed;", "return Standing::binding;",
             (UnitTest("idempotency", "claim_coordinator::answer_of_a_lapsed_operation_is_not_repeated_to_a_later_one_with_its_key"),
              UnitTest("idempotency", "claim_coordinator::answer_waits_for_further_votes_where_disks_name_different_holders"))),
    Mutation("mixed-kept-answers", "packages/idempotency/stored_answers.cpp",
             "if (now - oldest->second.at <= max_age && bytes_ <= max_bytes) break;", "if (bytes_ <= max_bytes) break;",
             (UnitTest("idempotency", "stored_answers::an_answer_leaves_by_its_own_age_and_takes_no_other_of_its_key"),)),
    Mutation("mixed-body-of-head", "packages/transport/http_reply.cpp", "method != EVHTTP_REQ_HEAD && ", "",
             (UnitTest("transport", "http_reply::an_answer_to_head_has_no_body_and_the_next_answer_begins_behind_it"),
              scenario(LOCAL_REPLIES, "no route (404)"), scenario(LOCAL_REPLIES, "stored answer (200)"))),
    Mutation("mixed-body-of-204", "packages/transport/http_reply.cpp", " && status != kNoContent && status != kNotModified", "",
             (UnitTest("transport", "http_reply::statuses_without_content_have_no_body"),)),
    Mutation("mixed-librarys-page", "packages/transport/http_reply.cpp", "  if (end >= length) return;", "  if (end > 0) return;",
             (UnitTest("transport", "http_reply::the_librarys_own_answer_to_head_has_no_body"),
              scenario(LOCAL_REPLIES, "head far over the limit, by the library (400)"))),
    # ---- UNASKED ----
    Mutation("unasked-header-names", HEADERS, "if (!is_token(name) || value.find('\\r') != std::string::npos) return false;", "",
             (SPOILED_REQUESTS,)),
    Mutation("unasked-two-ids", HEADERS, "return attempt_ids < 2;", "return true;", (SPOILED_REQUESTS,)),
    Mutation("unasked-framing", ADMISSION, "if (!has_sound_frame(incoming) ||", "if (", (SPOILED_REQUESTS,)),
    Mutation("unasked-target", ADMISSION, "|| !is_well_formed_target(incoming.target))", ")", (SPOILED_REQUESTS,)),
    Mutation("unasked-tenant", SENDER, ''' ||
      same_header_name(name, "X-Tenant"))''', ")",
             (UnitTest("proxy", "upstream_sender::headers_that_the_system_sets_are_its_own"),)),
    Mutation("unasked-body-length", SENDER, "if (request.body_bytes > 0 || method_has_body(request.method))", "if (false)",
             (UnitTest("proxy", "upstream_sender::length_of_a_body_is_stated_whatever_the_method"),)),
    # ---- TWICE ----
    Mutation("twice-not-repeatable", RETRY, "if (may_have_run_ && !is_repeatable_) return false;", "",
             (UnitTest("request", "retry_state::a_request_that_is_not_repeatable_is_retried_only_on_proof_that_it_has_not_run"),
              ONE_SPOILED)),
    Mutation("twice-retired-connection", "packages/upstream/connection_pool.cpp",
             "  bufferevent_disable(socket, EV_READ | EV_WRITE);\n", "",
             (UnitTest("upstream", "connection_pool::a_kept_connection_retired_in_the_turn_of_its_write_sends_nothing"),)),
    Mutation("config-unlike-routes", BALANCER, "  if (route == nullptr) return 1;\n", "  return 1;\n",
             (UnitTest("load_balancing", "load_balancer::a_route_with_short_work_is_served_beside_one_with_long_work"),)),
    Mutation("config-estimate-returns", BALANCER, "Seconds const known = faded_latency(target, mean, now);", "Seconds const known = target.latency;",
             (UnitTest("load_balancing", "load_balancer::a_route_that_was_slow_on_busy_servers_is_tried_again"),)),
    Mutation("config-never-seen", BALANCER, "choice.usual_latency = was_seen ? ", "choice.usual_latency = true ? ",
             (UnitTest("load_balancing", "load_balancer::a_route_that_was_never_seen_is_tried_however_long_others_take"),)),
    Mutation("config-aim-out-of-reach", "packages/load_balancing/include/load_balancing/endpoint.hpp",
             "if (rank == 0 || expected_latency <= kBusyFactor * usual_latency) return false;", "if (rank == 0) return false;",
             (UnitTest("load_balancing", "load_balancer::a_route_whose_target_no_server_can_meet_is_served_while_they_are_not_busy"),
              UnitTest("load_balancing", "load_shedding::what_a_server_that_is_not_busy_takes_is_never_refused"))),
    Mutation("denied-unknown", "packages/idempotency/answer_search.cpp",
             "return unheard >= kStoredCopies || (has_home && !has_heard_home);", "return false;",
             (UnitTest("idempotency", "claim_coordinator::repeat_is_not_told_that_its_key_is_at_work_while_home_disks_are_away"),
              UnitTest("idempotency", "claim_coordinator::stored_answer_that_is_found_late_is_repeated"),
              UnitTest("idempotency", "answer_search::an_answer_is_missed_where_all_its_copies_may_be"))),
    Mutation("denied-undelivered", "packages/idempotency/answer_delivery.cpp", "return !is_known || hold(notice, now);", "return true;",
             (UnitTest("idempotency", "claim_coordinator::answer_whose_home_disks_are_away_is_repeated_here_and_stored_once_one_is_back"),)),
    Mutation("denied-former-homes", "packages/idempotency/include/idempotency/claim_coordinator.hpp",
             "if (!disks_.may_send_body(ip, claim.request.homes)) continue;", "if (!disks_.may_store_body(ip, claim.request.homes)) continue;",
             (UnitTest("idempotency", "claim_coordinator::answer_is_found_in_the_homes_that_its_route_had_when_it_was_stored"),)),
    Mutation("twice-majority", "packages/idempotency/include/idempotency/claim_quorum.hpp", "member_count_ / 2 + 1", "member_count_ / 2",
             (UnitTest("idempotency", "claim_quorum::two_holders_are_never_both_granted_one_key"),)),
    Mutation("twice-epoch", KEY_TABLE, "if (request.epoch != epoch) return", "if (false) return",
             (UnitTest("idempotency", "key_table::does_not_vote_under_another_epoch_or_while_incomplete"),)),
    Mutation("twice-new-disk", KEY_TABLE, "if (!is_complete_) return", "if (false) return",
             (UnitTest("idempotency", "key_table::does_not_vote_under_another_epoch_or_while_incomplete"),)),
    Mutation("twice-held", KEY_TABLE, "if (holding->holder == request.holder && !holding->is_sealed)", "if (true)",
             (UnitTest("idempotency", "key_table::grants_a_key_to_its_first_holder_only"),)),
    Mutation("twice-age", KEY_TABLE, "now - entry->second.granted_at > age", "now - entry->second.granted_at > age / 4",
             (UnitTest("idempotency", "key_table::forgets_keys_past_their_age_which_begins_anew_with_a_restart"),)),
    # ---- REFUSED ----
    Mutation("refused-ran", MACHINE, "static bool may_refuse(RetryState const& state) { return !state.may_have_run(); }",
             "static bool may_refuse(RetryState const&) { return true; }", (ONE_SPOILED,)),
    Mutation("refused-key-released", MACHINE,
             "static bool may_release_key(RetryState const& state) { return !state.may_have_run(); }",
             "static bool may_release_key(RetryState const&) { return true; }", (ONE_SPOILED,)),
    # ---- DENIED ----
    Mutation("denied-unconfigured", ADMISSION, "make_local_reply(503, kRetryAfterWithoutConfiguration)",
             "make_local_reply(404)", (SPOILED_REQUESTS,)),
    Mutation("denied-answered-key", RECEIVER, "if (action.claim == ClaimDisposition::returned)", "if (false)",
             (scenario(DISCONNECTS, "at work, keyed"),)),
    # ---- ROUTE ----
    Mutation("route-target-server", SENDER, '  evhttp_add_header(out, "X-Target-Server", server_id.c_str());\n', "",
             (UnitTest("proxy", "upstream_sender::headers_that_the_system_sets_are_its_own"),)),
    Mutation("route-misdirected", HEADERS, "if (response.status == 421) return", "if (false) return", (SPOILED_RESPONSES,)),
    Mutation("route-longest-prefix", CONFIGURATION, "for (std::size_t end = key.size(); end > host.size(); --end) {",
             "for (std::size_t end = host.size() + 1; end <= key.size(); ++end) {", (UnitTest("configuration", "configuration::the_longest_prefix_of_the_host_wins"),)),
    Mutation("route-unknown-key", IDENTITY, "client.tenant != nullptr || route.keyless || !configuration.has_tenants()", "true",
             (UnitTest("request", "admission::request_without_a_known_key_is_refused_where_its_route_wants_a_tenant"),)),
    Mutation("route-last-tenant", "packages/configuration/include/configuration/compiled_configuration.hpp",
             "return has_had_tenants_;", "return !tenants_.empty();",
             (UnitTest("request", "client_identity::once_the_last_tenant_is_removed_requests_still_need_a_key"),)),
    # ---- DRAIN ----
    Mutation("drain-server", BALANCER, "return endpoint.ready && !endpoint.is_misdirected", "return !endpoint.is_misdirected",
             (UnitTest("load_balancing", "load_balancer::server_that_drains_gets_nothing_more_while_it_ends_what_it_has"),)),
    Mutation("drain-late-heartbeat", "packages/server_registry/server_registry.cpp",
             "if (record.seq < known.seq) return false;", "",
             (UnitTest("server_registry", "server_registry::a_late_heartbeat_changes_nothing"),)),
    Mutation("drain-acknowledged", "packages/controller/registry_service.cpp",
             "  if (!context_.in_contact()) return respond(redirect_to_controller_in_contact(context_, uri));\n"
             "  schema::HeartbeatResponse ret;",
             "  schema::HeartbeatResponse ret;",
             (UnitTest("controller", "registry_service::acknowledges_nothing_out_of_contact"),)),
    Mutation("drain-left-acknowledged", "packages/controller/registry_service.cpp",
             "  if (!context_.in_contact()) return respond(redirect_to_controller_in_contact(context_, uri));\n"
             '  acknowledge_departure(id, {200, "{}"}, respond);', '  acknowledge_departure(id, {200, "{}"}, respond);',
             (UnitTest("controller", "registry_service::acknowledges_nothing_out_of_contact"),)),
    Mutation("drain-one-disk", "packages/controller/departure_replicator.cpp",
             "return disk != disks.end() && disk->second == member.incarnation;", "return true;",
             (UnitTest("controller", "registry_service::a_leave_is_acknowledged_once_a_majority_of_disks_holds_it"),
              UnitTest("controller", "registry_service::a_drain_is_acknowledged_once_a_majority_of_disks_holds_it"),
              scenario(AFTER_ACKNOWLEDGEMENT, "servers leave while their controller shuts down"))),
    Mutation("drain-departed-row", "packages/controller/registry_service.cpp",
             "r.state == ServerState::gone && !has_left(r)", "r.state == ServerState::gone",
             (UnitTest("controller", "registry_service::a_server_that_has_left_stays_gone_on_disk_until_it_is_forgotten"),)),
    Mutation("drain-durable-state", "packages/server_registry/server_registry.cpp",
             "entry.is_durable = entry.is_durable && record.state == entry.record.state;", "",
             (UnitTest("controller", "registry_service::a_drain_is_acknowledged_once_a_majority_of_disks_holds_it"),)),
    Mutation("drain-readiness", "packages/proxy/proxy_context.cpp",
             "load_balancer.ready_servers() > 0 &&\n         !drain.is_shutting_down();", "load_balancer.ready_servers() > 0;",
             (UnitTest("proxy", "readiness::ends_with_a_sigterm"),)),
    Mutation("drain-directory", "packages/directory/proxy_table.cpp", "return now - item.second.heard > timeout_;",
             "return now - item.second.heard > 100 * timeout_;",
             (UnitTest("server_registry", "directory::entries_drop_after_missed_keepalives_and_lists_stay_short"),)),
    # ---- LOST ----
    Mutation("lost-shutdown-waits", "packages/proxy/shutdown_sequence.cpp", "context_.requests.size() > 0 || ", "",
             (scenario(COURSE, "stopped, at work for longer than connections are accepted"),)),
    Mutation("lost-being-read", "packages/proxy/shutdown_sequence.cpp",
             " ||\n         front_.open_body_reads(kReadIdleTicks) > 0;", ";",
             (scenario(COURSE, "upload arrives at the end of a shutdown"),)),
    Mutation("lost-hedge-after-sigterm", MACHINE, "if (phase_ != Phase::attempt || terminating ||",
             "if (phase_ != Phase::attempt ||", (UnitTest("request", "request::a_sigterm_breaks_off_no_attempt"),)),
    Mutation("lost-late-attempt", MACHINE, "    if (hedged_attempts_ > 0) {\n      --hedged_attempts_;\n      phase_ = Phase::attempt;",
             "    if (false) {\n      --hedged_attempts_;\n      phase_ = Phase::attempt;",
             (UnitTest("request", "request::a_late_attempt_outlives_a_retry_that_reaches_no_server"),)),
    Mutation("lost-hangup", "packages/process/signals.cpp", "  signal(SIGHUP, SIG_IGN);\n", "",
             (UnitTest("process", "signals::hangup_before_its_event_exists_does_nothing"),)),
    Mutation("lost-idle-limit", "packages/proxy/disconnect_monitor.cpp", "  bufferevent_set_timeouts(socket_, nullptr, nullptr);\n", "",
             (UnitTest("proxy", "client_disconnect::is_noticed_after_a_long_silence"),)),
    Mutation("lost-stray-answer", RECEIVER, "  if (check.rejection == ResponseRejection::other_id &&", "  if (false &&",
             (UnitTest("proxy", "attempt_at_work::stray_answer_is_discarded_and_the_next_one_is_waited_for"),)),
    Mutation("lost-vote-before-promise", ACCEPTOR, "  if (request.ballot < promised_) return {};\n", "",
             (UnitTest("consensus", "consensus::racing_proposers_lose_nothing"),)),
    Mutation("lost-wiped-disk", ACCEPTOR, "  response.incarnation = incarnation_;\n  if (request.incarnation != incarnation_) return {};\n  response.promised",
             "  response.incarnation = incarnation_;\n  response.promised",
             (UnitTest("consensus", "consensus::a_request_for_another_incarnation_gets_no_vote"),)),
    Mutation("lost-unsynced", "packages/storage/disk_store.cpp", "PRAGMA synchronous=FULL", "PRAGMA synchronous=OFF",
             (UnitTest("storage", "disk::each_commit_is_synced"),)),
    Mutation("lost-both-memberships", "packages/consensus/include/consensus/replicated_state.hpp",
             "static_cast<std::size_t>(std::count_if(members.begin(), members.end(), on_disk)) > members.size() / 2;",
             "static_cast<std::size_t>(std::count_if(members.begin(), members.end(), on_disk)) >= members.size() / 2;",
             (UnitTest("consensus", "consensus::a_membership_change_that_is_not_committed_makes_no_majority"),)),
    Mutation("lost-minority", "packages/consensus/proposer.cpp",
             "return static_cast<std::size_t>(votes) >= value.majority();",
             "return static_cast<std::size_t>(votes) + 1 >= value.majority();",
             (UnitTest("consensus", "consensus::racing_proposers_lose_nothing"),)),
    Mutation("lost-key-unwritten", KEY_TABLE, "  return was_written;\n", "  return true;\n",
             (UnitTest("idempotency", "key_table::grant_is_not_confirmed_once_another_holder_has_the_key"),)),
    # ---- CONFIG ----
    Mutation("config-open-connections", CLIENT_CONNECTIONS, "    apply_sizes(connection, limits);\n", "",
             (UnitTest("proxy", "client_connections::raised_sizes_are_in_force_on_open_connections"),
              scenario(SETTINGS_IN_FORCE, "bodyBytes raised"), scenario(SETTINGS_IN_FORCE, "headerBytes raised"))),
    Mutation("config-idle-connections", CLIENT_CONNECTIONS, "if (is_idle_limit_changed && !is_monitored)", "if (false)",
             (UnitTest("proxy", "client_connections::changed_idle_limit_is_in_force_on_open_connections"),
              scenario(SETTINGS_IN_FORCE, "idleTimeoutS raised"), scenario(SETTINGS_IN_FORCE, "idleTimeoutS lowered"))),
    Mutation("config-idle-prolonged", CLIENT_CONNECTIONS, "limits.idle_seconds != limits_.idle_seconds;", "true;",
             (UnitTest("proxy", "client_connections::changes_of_other_limits_prolong_no_rest"),)),
    Mutation("config-majority", "packages/quorum_contact/include/quorum_contact/quorum_contact.hpp",
             "return members_.size() / 2 + 1;", "return members_.size() / 2;",
             (UnitTest("quorum_contact", "quorum_contact::random_partitions_never_outlast_the_bound"),)),
    Mutation("config-contact-age", "packages/quorum_contact/quorum_contact.cpp", "0.6 * bounds.applyBoundS",
             "3 * bounds.applyBoundS", (UnitTest("quorum_contact", "quorum_contact::times_follow_from_the_apply_bound"),)),
    Mutation("config-goes-back", CONFIGURATION, "if (!is_new && item.gen <= version->second) return;", "if (false) return;",
             (UnitTest("configuration", "configuration::older_version_of_an_item_takes_nothing_back"),)),
    Mutation("config-older-state", "packages/proxy/state_applier.cpp",
             "  if (context_.has_configuration && state.ballot <= ballot_) return;\n", "",
             (UnitTest("proxy", "state_applier::older_state_takes_nothing_back"),)),
    Mutation("config-same-version", "packages/configuration/merge.cpp",
             "} else if (item.gen == current->second.gen && !same_item(item, current->second)) {", "} else if (false) {",
             (UnitTest("operator_commands", "operator_commands::simulated_days_are_linearizable"),)),
    Mutation("config-invalid", "packages/configuration/validation.cpp", 'if (!(actuation.deadlineS > 0)) throw',
             "if (false) throw", (UnitTest("configuration", "configuration::the_fault_names_the_invalid_member"),)),
    Mutation("config-unknown-service", "packages/configuration/merge.cpp",
             "if (is_known_service(items, newer, reference)) continue;", "if (true) continue;",
             (UnitTest("operator_commands", "operator_commands::simulated_days_are_linearizable"),)),
    Mutation("config-service-in-use", "packages/configuration/merge.cpp",
             "if (key[0] != item_key::kService || !item->gone) continue;", "if (true) continue;",
             (UnitTest("operator_commands", "operator_commands::service_that_a_route_names_is_not_dropped"),
              UnitTest("operator_commands", "operator_commands::what_is_read_back_is_accepted_and_equals_itself"),
              UnitTest("operator_commands", "operator_commands::simulated_days_are_linearizable"))),
    Mutation("config-removal-late", "packages/operator_commands/amend_configuration.cpp",
             "return removes_service_ && ", "return false && ",
             (UnitTest("operator_commands", "operator_commands::refused_removal_of_a_service_never_comes_into_force_late"),)),
    Mutation("config-resent", "packages/operator_commands/amend_configuration.cpp",
             "case MergeResult::same: return CommandResult::accepted(false);",
             'case MergeResult::same: return CommandResult::refused(CommandStatus::conflict, "");',
             (UnitTest("operator_commands", "operator_commands::accepted_change_is_accepted_again_and_changes_nothing"),)),
    Mutation("config-deadline", RETRY, "if (now >= deadline_ - kTimerSlack) return TimerMeaning::expired;", "",
             (UnitTest("request", "retry_state::a_timer_means_what_the_attempt_came_to"),)),
    Mutation("config-split", ADMISSION, "if (weight > 0 && rest < weight) return &service;", "return &service;",
             (UnitTest("request", "admission::parts_of_a_split_get_their_share"),)),
    # ---- BUDGET ----
    Mutation("budget-retries", "packages/load_balancing/retry_budget.cpp",
             "if (retries + 1 > share * bounds_.slack + bounds_.ratio * requests) return false;", "",
             (UnitTest("load_balancing", "retry_budget::bound_holds_in_every_window"),)),
    Mutation("budget-hedges", MACHINE, "if (!reserve_server() || !spend_budget()) return false;",
             "if (!reserve_server()) return false;",
             (UnitTest("request", "request::an_empty_budget_breaks_off_no_attempt"),)),
    Mutation("budget-most-servers", RETRY,
             "return attempts_ < max_attempts_ + kAttemptsWithoutArrival && arrivals_ < max_attempts_ && has_time(now);",
             "return attempts_ < max_attempts_ + kAttemptsWithoutArrival && has_time(now);",
             (UnitTest("request", "retry_state::no_more_servers_are_asked_than_the_route_allows"),)),
    Mutation("budget-reading-time", ADMISSION, "milliseconds / 1000.0 - reading_time", "milliseconds / 1000.0",
             (UnitTest("request", "admission::what_reading_took_is_off_the_clients_time"),)),
    Mutation("budget-time-left", SENDER, "(request.deadline() - now) * 1000", "request.route->deadline * 1000",
             (UnitTest("proxy", "upstream_sender::time_left_shrinks_with_each_attempt"),)),
    # ---- GONE ----
    Mutation("gone-unseen", "packages/proxy/disconnect_monitor.cpp", "  bufferevent_enable(socket_, EV_READ);\n", "",
             (UnitTest("proxy", "client_disconnect::repeatable_run_ends_with_its_client"),
              UnitTest("proxy", "client_disconnect::both_hedged_attempts_end_with_their_client"),
              scenario(DISCONNECTS, "at work, repeatable"))),
    Mutation("gone-read-too-late", "packages/proxy/request_intake.cpp",
             "if (result.request && has_client_disconnected(client_request)) {", "if (false) {",
             (UnitTest("proxy", "client_disconnect::request_of_a_client_that_left_before_it_was_read_reaches_no_server"),)),
    Mutation("gone-sent-on", MACHINE, "(is_client_disconnected_ && !is_keyed_) ||", "",
             (UnitTest("request", "request::upload_that_was_turned_away_is_sent_nowhere_else_once_its_client_has_left"),)),
    Mutation("gone-cuts-all", MACHINE, "return !has_begun || (state.is_repeatable() && !is_keyed);", "return true;",
             (UnitTest("request", "request::run_that_may_not_be_repeated_outlives_its_client"),
              scenario(DISCONNECTS, "at work, upload"))),
    Mutation("gone-hidden", "packages/proxy/disconnect_monitor.cpp", "         has_peer_disconnected(bufferevent_getfd(socket_));", "         false;",
             (UnitTest("proxy", "client_disconnect::is_found_behind_a_next_request_that_is_long"),)),
    Mutation("gone-looks-idle", BALANCER, "if (seen > faded_latency(target, service.mean_latency, now)) learn_endpoint_latency", "if (false) learn_endpoint_latency",
             (UnitTest("load_balancing", "load_balancer::server_whose_clients_leave_unanswered_does_not_look_idle"),)),
    # ---- FAILBACK ----
    Mutation("failback-rate", BALANCER, "return proxies > 0 && endpoint.slow_start.has_token(now, slow_start_rate(endpoint, proxies), kSlowStartBurst);",
             "return true;", (UnitTest("load_balancing", "load_balancer::slow_start_rate_holds_summed_over_all_proxies"),)),
    Mutation("failback-returned-zone", BALANCER, "      start_warm_up(ServerIndex(slot), it->second - now, now);\n", "      ;\n",
             (UnitTest("load_balancing", "load_balancer::servers_of_a_zone_taken_back_warm_up_until_heartbeats_arrive"),)),
    # ---- HOME ----
    Mutation("home-server", BALANCER, " && is_home(query, endpoint);", ";", (HOMES,)),
    Mutation("home-tenant", ADMISSION, "if (tenant == nullptr || tenant->homes.empty()) return route.homes;",
             "return route.homes;", (UnitTest("request", "admission::homes_of_route_and_tenant_both_bind"),)),
    Mutation("mixed-tenants-key", IDENTITY, "return client.operation_tenant.empty()", "return true",
             (UnitTest("request", "admission::key_of_an_operation_is_its_tenants_own"),)),
    Mutation("twice-key-taken-away", IDENTITY, "former = configuration.former_tenant_of(api_key);", "former = nullptr;",
             (UnitTest("request", "client_identity::operations_of_a_key_that_was_taken_away_stay_its_tenants"),)),
    Mutation("twice-former-keys", "packages/configuration/merge.cpp", "if (key[0] == item_key::kTenant) tenants", "if (false) tenants",
             (UnitTest("configuration", "former_key_retention::random_changes_and_times_keep_whose_keys_were"),)),
    Mutation("twice-former-keys-age", "packages/configuration/former_key_retention.cpp", "now - sighting.first_seen_at < age", "false",
             (UnitTest("configuration", "former_key_retention::random_changes_and_times_keep_whose_keys_were"),
              UnitTest("configuration", "former_key_retention::a_controller_that_starts_counts_anew"))),
    Mutation("twice-former-keys-room", "packages/configuration/merge.cpp", "if (!has_room_for(items, former_keys)) {", "if (false) {",
             (UnitTest("configuration", "former_keys::a_change_for_which_there_is_no_room_is_refused_and_nothing_is_forgotten"),)),
    Mutation("twice-client-known-to-some", KEY_TABLE, "if (Entry const* const excluding = find_excluding(names, request.holder); excluding != nullptr) {",
             "if (Entry const* const excluding = find_excluding(names, request.holder); false) {",
             (UnitTest("idempotency", "key_table::an_operation_runs_once_though_not_all_machines_know_its_client"),
              UnitTest("idempotency", "key_table::whatever_machines_know_of_a_client_its_operation_is_won_once"))),
    Mutation("mixed-shared-text", "packages/base/include/base/operation_id.hpp",
             "split_ == other.split_ || !is_exact() || !other.is_exact()", "true",
             (UnitTest("base", "operation_id::no_two_pairs_are_one_operation"),
              UnitTest("idempotency", "key_table::operations_that_share_a_text_are_granted_each_by_itself"),
              UnitTest("controller", "stored_operations::operations_that_share_a_text_have_answers_of_their_own"))),
    Mutation("twice-older-operation", KEY_TABLE, "if (candidate->first.may_equal(operation)) return &candidate->second;", ";",
             (UnitTest("idempotency", "key_table::an_operation_of_an_older_program_excludes_all_that_share_its_text"),
              UnitTest("controller", "stored_operations::an_answer_of_the_release_before_is_repeated_after_the_upgrade"))),
    Mutation("home-stored-body", "packages/idempotency/claim_disks.cpp", "  if (!may_send_body(ip, homes)) return false;\n", "",
             (UnitTest("idempotency", "claim_coordinator::body_with_home_regions_is_never_sent_through_a_relay"),)),
    Mutation("home-stored-elsewhere", "packages/idempotency/claim_disks.cpp",
             "return homes.empty() || std::find(homes.begin(), homes.end(), member(ip)->region) != homes.end();", "return true;",
             (UnitTest("idempotency", "claim_coordinator::answer_whose_home_disks_are_away_is_repeated_here_and_stored_once_one_is_back"),)),
    Mutation("home-directory", "packages/directory/nearest_selector.cpp",
             "return entry.region == client.region ? kSameRegion : kElsewhere;", "return kSameRegion;",
             (UnitTest("server_registry", "directory::entries_drop_after_missed_keepalives_and_lists_stay_short"),)),
    # ---- EVAC ----
    Mutation("evac", BALANCER, "         evacuated_zones_.count(endpoint.zone.v) == 0 && is_home", "         is_home", (HOMES,)),
    Mutation("evac-once", "packages/operator_commands/set_evacuation.cpp",
             "  if (counter_of(state, zone_) > known_counter_) return", "  if (false) return",
             (UnitTest("operator_commands", "operator_commands::evacuation_has_its_effect_once"),)),
    # ---- ONE ----
    Mutation("one-takeover", "packages/leases/include/leases/lease_client.hpp",
             "return options_.duration + options_.margin;", "return 0;",
             (UnitTest("leases", "lease_client::random_kills_freezes_and_partitions_break_no_invariant"),)),
    Mutation("one-late-call", "packages/leases/lease_client.cpp", " || now + call_duration > may_act_until_) return false;",
             ") return false;", (UnitTest("leases", "lease_client::the_time_to_act_is_counted_from_the_proposal_not_from_its_result"),)),
    Mutation("one-frozen", "packages/leases/usage_reporter.cpp",
             "  if (state.to_fix != 0 && state.to_fix != report.window) return false;\n", "",
             (UnitTest("leases", "usage_reporter::freezes_once_sends_in_order_and_repeats_byte_for_byte"),)),
    # ---- faults of our own ----
    Mutation("fault-deep-json", "packages/configuration/json.cpp", 'if (++depth > deepest) throw', "if (false) throw",
             (UnitTest("robustness", "input::json_that_would_cost_the_stack_or_end_early_is_refused"),)),
    Mutation("starved-ranks", "packages/load_balancing/include/load_balancing/endpoint.hpp",
             "(1.0 + 2.0 / rank)", "3.0",
             (UnitTest("load_balancing", "load_shedding::lower_ranks_are_shed_first"),)),
    # ---- usage ----
    Mutation("usage-merged", "packages/usage/usage_totals.cpp", "    count = row.counts[i];\n", "    count += row.counts[i];\n",
             (UnitTest("usage", "usage_totals::rows_merge_to_the_same_sum_whatever_their_way"),)),
)
