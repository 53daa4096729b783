package org.basilrill.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for a settings file with faults; its message has one line for each fault. Immutable and thread safe. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    SettingsException(String file, List<SettingsFault> faults) {
        super(faults.stream().map(fault -> fault.describe(file)).collect(Collectors.joining(System.lineSeparator())));
        this.faults = List.copyOf(faults);
    }

    /** Returns the faults, sorted by line number. */
    public List<SettingsFault> faults() {
        return faults;
    }
}
