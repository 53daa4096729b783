package org.basilrill.scaffold.measure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the arithmetic and the form of the reported figures. */
class ReportTest {
    /** Guards against capacities worked out from a wrong slope, or from one that holds the fixed cost. */
    @Test
    void theSlopeLeavesOutTheFixedCost() {
        assertThat(Report.slope(List.of(0.0, 10.0, 20.0, 40.0), List.of(5.0, 7.0, 9.0, 13.0)), closeTo(0.2, 1e-9));
    }

    /** Guards against a median of an even number of rounds that takes only one of the middle ones. */
    @Test
    void theSpreadNamesMedianLowestAndHighest() {
        assertThat(Report.spread(List.of(4.0, 1.0, 2.0, 8.0)), is("3.00 (1.00 to 8.00)"));
    }

    /** Guards against tables whose rows do not line up with their columns, or results without their seed. */
    @Test
    void theMarkdownHoldsSettingsColumnsAndRows() {
        Report report = new Report("example", 7);
        report.table("Latencies", "rate", "median ms").row(500, 0.25);
        assertThat(report.markdown(), containsString("seed=7"));
        assertThat(report.markdown(), containsString("| rate | median ms |\n|---|---|\n| 500 | 0.25 |\n"));
    }

    /** Guards against fields of {@code /proc} read one place off. */
    @Test
    void theUsageOfThisProcessIsPlausible() {
        ProcessUsage usage = ProcessUsage.of(ProcessHandle.current().pid());
        assertThat(usage.threads(), greaterThan(1));
        assertThat(usage.residentBytes(), greaterThan(1L << 20));
        assertThat(usage.processorNanos(), greaterThan(0L));
    }
}
