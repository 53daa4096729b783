package org.basilrill.state.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.basilrill.state.codec.ThriftCodec;
import org.basilrill.thrift.control.MachineState;

/** Drives a control state machine through its encoded interface, as a replica does. */
public final class MachineHarness {
    private ControlStateMachine machine = new ControlStateMachine();
    private long index;

    public ControlStateMachine machine() {
        return machine;
    }

    public long index() {
        return index;
    }

    public ControlResult apply(ControlCommand command) {
        index++;
        return ResultCodec.decode(machine.apply(index, CommandCodec.encode(command)));
    }

    /** Replaces the state machine by one that is restored from its snapshot. */
    public void restart() {
        ControlStateMachine restored = new ControlStateMachine();
        restored.restore(machine.snapshot());
        assertThat("a snapshot restores the whole state", restored.snapshot(), is(machine.snapshot()));
        assertThat("a snapshot restores the view", restored.view(), is(machine.view()));
        assertThat(restored.ledgerRows(), is(machine.ledgerRows()));
        machine = restored;
    }

    /** Returns the state without the positions in the log. */
    public MachineState state() {
        return ThriftCodec.decode(MachineState::new, machine.snapshot())
                .setLastIndex(0)
                .setViewIndex(0);
    }
}
