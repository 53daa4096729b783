package org.basilrill.protocol.administration;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PromptPartId;
import org.basilrill.coordination.budget.BudgetSnapshot;
import org.basilrill.coordination.consensus.ReplicaStatus;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.Membership.Member;
import org.basilrill.protocol.relay.TargetAccess;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.CrashSuspect;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/** Describes the cluster as JSON, as known to this instance. Thread safe. */
public final class AdministrationViews {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final InstanceId self;
    private final ControlClient control;
    private final Membership membership;
    private final TargetDirectory targets;
    private final IntSupplier requestsInFlight;
    private final Supplier<List<BudgetSnapshot>> budgets;
    private final Supplier<Optional<ReplicaStatus>> replica;
    private final Optional<TargetAccess> targetAccess;

    /**
     * Creates the views of one instance.
     *
     * @param budgets token buckets known to this instance
     * @param targetAccess paths to the targets, if they are observed
     * @param replica state of the replica of the control log on this instance, if it has one
     */
    public AdministrationViews(
            InstanceId self,
            ControlClient control,
            Membership membership,
            TargetDirectory targets,
            IntSupplier requestsInFlight,
            Supplier<List<BudgetSnapshot>> budgets,
            Supplier<Optional<ReplicaStatus>> replica,
            Optional<TargetAccess> targetAccess) {
        this.self = self;
        this.control = control;
        this.membership = membership;
        this.targets = targets;
        this.requestsInFlight = requestsInFlight;
        this.budgets = budgets;
        this.replica = replica;
        this.targetAccess = targetAccess;
    }

    /** Returns the state of this instance, and all instances and targets with their state. */
    public ObjectNode status() {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("instance", self.value());
        body.put("revision", control.view().rules().revision());
        body.put("log_index", control.view().index());
        body.put("current", control.isCurrent());
        body.put("requests_in_flight", requestsInFlight.getAsInt());
        targetAccess.ifPresent(access -> describe(access, body.putObject("target_paths")));
        replica.get().ifPresent(status -> describe(status, body.putObject("control_log")));
        ArrayNode evacuated = body.putArray("evacuated_data_centres");
        control.view().evacuatedDataCentres().keySet().stream().sorted().forEach(evacuated::add);
        ArrayNode instances = body.putArray("instances");
        membership.members().stream()
                .sorted(Comparator.comparing(Member::id))
                .forEach(member -> instances.add(describe(member)));
        ArrayNode announced = body.putArray("targets");
        targets.targets().stream()
                .sorted(Comparator.comparing(TargetAnnouncement::id))
                .forEach(target -> announced.add(describe(target)));
        ArrayNode parts = body.putArray("suspect_prompt_parts");
        ArrayNode requests = body.putArray("suspect_requests");
        for (CrashSuspect suspect : control.view().suspects()) {
            if (suspect.id() instanceof PromptPartId) {
                parts.add(describe("part", suspect));
            } else {
                requests.add(describe("request", suspect));
            }
        }
        return body;
    }

    /**
     * Returns the client accounts with their rates and the owners of their buckets. Only the owner of a bucket knows
     * its remaining and granted tokens; other instances return the owner alone.
     */
    public ObjectNode accounts() {
        ControlView view = control.view();
        ObjectNode body = MAPPER.createObjectNode();
        body.put("revision", view.rules().revision());
        Map<AccountId, BudgetSnapshot.Bucket> ownedBuckets = new HashMap<>();
        budgets.get()
                .forEach(budget -> budget.bucket().ifPresent(bucket -> ownedBuckets.put(budget.account(), bucket)));
        ArrayNode accounts = body.putArray("accounts");
        List<Rules.Account> sorted = view.rules().accounts().values().stream()
                .sorted(Comparator.comparing(Rules.Account::id))
                .toList();
        for (Rules.Account account : sorted) {
            ObjectNode entry = accounts.addObject();
            entry.put("account", account.id().value());
            entry.put("tokens_per_second", account.tokensPerSecond());
            entry.put("burst_tokens", account.burstTokens());
            entry.put("weight", account.weight());
            Optional.ofNullable(view.bucketOwners().get(account.id()))
                    .ifPresent(owner -> entry.put("bucket_owner", owner.owner().value()));
            Optional.ofNullable(ownedBuckets.get(account.id())).ifPresent(bucket -> {
                entry.put("tokens_left", bucket.level());
                entry.put(
                        "tokens_granted",
                        bucket.outstanding().values().stream()
                                .mapToLong(Long::longValue)
                                .sum());
            });
        }
        return body;
    }

    private static void describe(TargetAccess access, ObjectNode entry) {
        entry.put("lost", access.lostPaths());
        entry.put("exchanges_for_others", access.service().exchanges());
        ObjectNode carriers = entry.putObject("exchanges_carried_by");
        access.carriedByInstance().forEach((instance, count) -> carriers.put(instance.value(), count));
    }

    private static void describe(ReplicaStatus status, ObjectNode entry) {
        entry.put("replica", status.self().toString());
        entry.put("role", status.role().name());
        status.leader().ifPresent(leader -> entry.put("leader", leader.value()));
        entry.put("term", status.term());
        entry.put("commit_index", status.commitIndex());
        entry.put("last_index", status.lastIndex());
        ArrayNode members = entry.putArray("members");
        status.members().voters().forEach(member -> members.add(member.toString()));
    }

    private static ObjectNode describe(Member member) {
        ObjectNode entry = MAPPER.createObjectNode();
        entry.put("instance", member.id().value());
        entry.put("data_centre", member.dataCentre());
        entry.put("caller_address", member.callerAddress());
        entry.put("suspected", member.suspected());
        entry.put("draining", member.draining());
        entry.put("current", member.current());
        entry.put("revision", member.revision());
        entry.put("requests_in_flight", member.requestsInFlight());
        entry.put("cut_from_targets", member.cutFromTargets());
        return entry;
    }

    private static ObjectNode describe(String kind, CrashSuspect suspect) {
        ObjectNode entry = MAPPER.createObjectNode();
        entry.put(kind, suspect.id().toString());
        entry.put("crashes", suspect.crashes());
        entry.put("blocked", suspect.blocked());
        suspect.block().ifPresent(block -> entry.put("trial_after_seconds", block.toSeconds()));
        return entry;
    }

    private static ObjectNode describe(TargetAnnouncement target) {
        ObjectNode entry = MAPPER.createObjectNode();
        entry.put("target", target.id().value());
        entry.put("incarnation", target.incarnation());
        entry.put("address", target.host() + ":" + target.port());
        entry.put("data_centre", target.dataCentre());
        target.service().ifPresent(service -> entry.put("service", service));
        entry.put("memory_bytes", target.memoryBytes());
        entry.put("slots", target.slots());
        entry.put("running", target.load().running());
        entry.put("waiting", target.load().waiting());
        entry.put("leaving", target.leaving());
        ArrayNode contents = entry.putArray("contents");
        target.contents().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(content -> contents.addObject()
                        .put("model", content.getKey().value())
                        .put("version", content.getValue().version())
                        .put("ready", content.getValue().ready()));
        return entry;
    }
}
