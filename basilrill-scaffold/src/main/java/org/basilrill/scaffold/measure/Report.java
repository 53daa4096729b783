package org.basilrill.scaffold.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The settings and tables of one measurement. Not thread safe. */
final class Report {
    private final String name;
    private final Map<String, Object> settings = new LinkedHashMap<>();
    private final List<Table> tables = new ArrayList<>();

    Report(String name, long seed) {
        this.name = name;
        settings.put("seed", seed);
    }

    void addSetting(String setting, Object value) {
        settings.put(setting, value);
    }

    Table addTable(String title, String... columns) {
        Table table = new Table(title, List.of(columns), new ArrayList<>());
        tables.add(table);
        return table;
    }

    public String getName() {
        return name;
    }

    public Map<String, Object> getSettings() {
        return Collections.unmodifiableMap(settings);
    }

    public List<Table> getTables() {
        return Collections.unmodifiableList(tables);
    }

    String markdown() {
        StringBuilder text = new StringBuilder("## " + name + "\n\n" + settings + "\n");
        for (Table table : tables) {
            text.append("\n**").append(table.title()).append("**\n\n");
            text.append("| ").append(String.join(" | ", table.columns())).append(" |\n");
            text.append("|---".repeat(table.columns().size())).append("|\n");
            table.rows()
                    .forEach(row -> text.append("| ")
                            .append(String.join(
                                    " | ", row.stream().map(Report::formatCell).toList()))
                            .append(" |\n"));
        }
        return text.toString();
    }

    /** Returns the median, the lowest and the highest value as text. */
    static String medianAndRange(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return String.format(
                Locale.ROOT, "%.2f (%.2f to %.2f)", median(values), sorted.get(0), sorted.get(sorted.size() - 1));
    }

    static double median(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        int middleIndex = sorted.size() / 2;
        return sorted.size() % 2 == 1
                ? sorted.get(middleIndex)
                : (sorted.get(middleIndex - 1) + sorted.get(middleIndex)) / 2;
    }

    static double percentileMillis(Histogram nanoseconds, double percentile) {
        return nanoseconds.getValueAtPercentile(percentile) / 1e6;
    }

    /** Returns the least-squares slope of y over x. */
    static double slope(List<Double> x, List<Double> y) {
        double meanX = x.stream().mapToDouble(value -> value).average().orElseThrow();
        double meanY = y.stream().mapToDouble(value -> value).average().orElseThrow();
        double products = 0;
        double squares = 0;
        for (int index = 0; index < x.size(); index++) {
            products += (x.get(index) - meanX) * (y.get(index) - meanY);
            squares += (x.get(index) - meanX) * (x.get(index) - meanX);
        }
        return products / squares;
    }

    private static String formatCell(Object value) {
        return value instanceof Double number ? String.format(Locale.ROOT, "%.2f", number) : String.valueOf(value);
    }

    /** One table; the values of a row are in the order of the columns. */
    record Table(String title, List<String> columns, List<List<Object>> rows) {
        void addRow(Object... values) {
            rows.add(List.of(values));
        }
    }
}
