package org.basilrill.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Reports every fault of a settings file at once. Immutable and thread safe. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    SettingsException(String file, List<SettingsFault> faults) {
        super(faults.stream().map(fault -> fault.describe(file)).collect(Collectors.joining(System.lineSeparator())));
        this.faults = List.copyOf(faults);
    }

    /** Returns the faults in the order of their lines. */
    public List<SettingsFault> faults() {
        return faults;
    }
}
