package org.basilrill.scaffold.measure;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the calculations and the format of reported figures. */
class ReportTest {
    /** Guards against capacities computed from a wrong slope, or from one that includes the fixed cost. */
    @Test
    void slopeExcludesFixedCost() {
        assertThat(Report.slope(List.of(0.0, 10.0, 20.0, 40.0), List.of(5.0, 7.0, 9.0, 13.0)), closeTo(0.2, 1e-9));
    }

    /** Guards against a median of an even number of rounds that uses only one of the two middle values. */
    @Test
    void medianAndRangeContainsMedianLowestAndHighest() {
        assertThat(Report.medianAndRange(List.of(4.0, 1.0, 2.0, 8.0)), is("3.00 (1.00 to 8.00)"));
    }

    /** Guards against table rows that do not match their columns, and against results without their seed. */
    @Test
    void markdownContainsSettingsColumnsAndRows() {
        Report report = new Report("example", 7);
        report.addTable("Latencies", "rate", "median ms").addRow(500, 0.25);
        assertThat(report.markdown(), containsString("seed=7"));
        assertThat(report.markdown(), containsString("| rate | median ms |\n|---|---|\n| 500 | 0.25 |\n"));
    }

    /** Guards against reading fields of {@code /proc} with an index off by one. */
    @Test
    void processUsageOfThisProcessIsPlausible() {
        ProcessUsage usage = ProcessUsage.of(ProcessHandle.current().pid());
        assertThat(usage.threads(), greaterThan(1));
        assertThat(usage.residentBytes(), greaterThan(1L << 20));
        assertThat(usage.processorTimeNanos(), greaterThan(0L));
    }
}
