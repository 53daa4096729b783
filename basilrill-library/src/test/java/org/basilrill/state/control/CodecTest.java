package org.basilrill.state.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.Outcome;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.SuspectId;
import org.basilrill.api.TargetId;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.configuration.RulesParser;
import org.basilrill.state.control.ControlView.BucketOwner;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/** Guards against encodings that lose fields and against log entries that the state machine cannot decode. */
class CodecTest {
    private static final AccountId ACCOUNT = new AccountId("a");
    private static final InstanceId INSTANCE = new InstanceId("i");
    private static final TargetId TARGET = new TargetId("t");
    private static final PromptPartId PART = new PromptPartId("service", 7);
    private static final RequestFingerprintId REQUEST = new RequestFingerprintId("1a");
    private static final List<SuspectId> SUSPECTS = List.of(PART, REQUEST);
    private static final ModelId MODEL = new ModelId("m/x");
    private static final RecordedResponse RESPONSE = new RecordedResponse(201, "text/plain", new byte[] {1, 2}, true);

    @Example
    void everyCommandIsDecodedAsItWasEncoded() {
        List<ControlCommand> commands = List.of(
                new ControlCommand.ReplaceRules(3, "text é", "ana"),
                new ControlCommand.InstallRules(8, "text é", "ana"),
                new ControlCommand.ClaimOrder(ACCOUNT, "key", "fingerprint", "attempt", INSTANCE, 4, 5),
                new ControlCommand.FinishOrder(ACCOUNT, "key", "attempt", Outcome.MAY_HAVE_RUN, Optional.empty()),
                new ControlCommand.AssignBucket(ACCOUNT, INSTANCE, 1, 2, 3),
                new ControlCommand.IntendOrder(TARGET, 1, "order", OrderKind.CHANGE_ROLE, MODEL, 2, 3),
                new ControlCommand.ResolveOrder("order", OrderOutcome.REFUSED_STALE),
                new ControlCommand.ObserveTarget(TARGET, 1, 2, Map.of(MODEL, new LoadedModel(1, 2, true)), true),
                new ControlCommand.ReportCrash("fingerprint", TARGET, 1, 2, List.of(PART), 3),
                new ControlCommand.ReportPartAnswers(List.of(new ControlCommand.PartAnswer(PART, 4)), 5),
                new ControlCommand.RequestPartTrial(PART, 6),
                new ControlCommand.ReleasePart(PART),
                new ControlCommand.ReportCrashEvidence(
                        List.of(new ControlCommand.LostRequest(TARGET, 1, Optional.of("v1"), 2, 3, SUSPECTS)),
                        List.of(new ControlCommand.SuspectAnswer(REQUEST, 4, Optional.empty())),
                        5),
                new ControlCommand.RequestTrial(REQUEST, 6),
                new ControlCommand.ReleaseSuspect(PART),
                new ControlCommand.RegisterVersion("service", "v1"),
                new ControlCommand.RetireVersion("service", "v1", 7),
                new ControlCommand.RecordStreams(
                        List.of(new ControlCommand.StreamRecord("request", "service", "v1")), 8),
                new ControlCommand.FindStream(Optional.of("request"), "service", 9, 10),
                new ControlCommand.BeginEvacuation("north", 11),
                new ControlCommand.EndEvacuation("north", 12),
                new ControlCommand.RegisterSession(INSTANCE, 1),
                new ControlCommand.ExpireSession(INSTANCE, 1));
        assertThat(commands.size(), is(ControlCommand.class.getPermittedSubclasses().length));
        commands.forEach(command -> assertThat(CommandCodec.decode(CommandCodec.encode(command)), is(command)));
    }

    @Example
    void everyResultIsDecodedAsItWasEncoded() {
        List<ControlResult> results = List.of(
                new ControlResult.Done(),
                new ControlResult.RulesAccepted(1),
                new ControlResult.RulesConflict(2, "ana"),
                new ControlResult.OrderGranted(),
                new ControlResult.OrderRunning(INSTANCE),
                new ControlResult.OrderFinished(Outcome.RAN, Optional.empty()),
                new ControlResult.BucketHeld(INSTANCE, 3),
                new ControlResult.OrderReserved(4),
                new ControlResult.CrashCount(2, List.of(PART)),
                new ControlResult.CrashVerdicts(List.of(SUSPECTS, List.of())),
                new ControlResult.StreamVersion(Optional.of("v1")),
                new ControlResult.Refused(ErrorCode.MEMORY_EXCEEDED, "detail"));
        assertThat(results.size(), is(ControlResult.class.getPermittedSubclasses().length));
        results.forEach(result -> assertThat(ResultCodec.decode(ResultCodec.encode(result)), is(result)));
    }

    @Example
    void aRecordedResponseKeepsItsBytes() {
        ControlResult.OrderFinished decoded = (ControlResult.OrderFinished) ResultCodec.decode(
                ResultCodec.encode(new ControlResult.OrderFinished(Outcome.RAN, Optional.of(RESPONSE))));
        RecordedResponse response = decoded.response().orElseThrow();
        assertThat(response.body(), is(RESPONSE.body()));
        assertThat(response.status(), is(201));
        assertThat(response.contentType(), is("text/plain"));
        assertThat(response.complete(), is(true));
    }

    @Example
    void aViewOmitsRulesOnlyForRecipientsThatHaveThem() {
        String text = "account a rate 1 burst 2 # Ana";
        Rules rules = RulesParser.parse(text, 5).rules().orElseThrow();
        ControlView view = new ControlView(
                9,
                rules,
                Map.of(ACCOUNT, new BucketOwner(INSTANCE, 1, 2, 3)),
                Set.of("f"),
                Map.of(INSTANCE, 1L),
                List.of(
                        new CrashSuspect(PART, 3, Optional.of(Duration.ofMinutes(1)), 2),
                        new CrashSuspect(new PromptPartId("service", 8), 1, Optional.empty(), 0),
                        new CrashSuspect(REQUEST, 4, Optional.of(Duration.ofSeconds(5)), 3),
                        new CrashSuspect(new RequestFingerprintId("2b"), 2, Optional.empty(), 0)),
                List.of(new ServiceVersions("service", Set.of("v1", "v2"), true)));
        assertThat(ViewCodec.fromMessage(ViewCodec.toMessage(view, text, 4), Rules.empty()), is(view));
        assertThat(ViewCodec.fromMessage(ViewCodec.toMessage(view, text, 5), rules), is(view));
        BasilrillException failure = assertThrows(
                BasilrillException.class,
                () -> ViewCodec.fromMessage(ViewCodec.toMessage(view, text, 5), Rules.empty()));
        assertThat(failure.code(), is(ErrorCode.MESSAGE_MALFORMED));
    }

    @Property(tries = 2000, seed = "4251")
    void anEntryThatCannotBeDecodedIsRefusedAndChangesNothing(@ForAll @Size(max = 60) byte[] entry) {
        ControlStateMachine machine = new ControlStateMachine();
        ControlResult result = ResultCodec.decode(machine.apply(1, entry));
        assertThat(result instanceof ControlResult.Refused, is(true));
        assertThat(machine.view(), is(ControlView.empty()));
    }
}
