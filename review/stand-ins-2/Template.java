import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Fills in a settings template as the platform does. Stateless and thread safe. */
final class Template {
    private static final Pattern SECTION = Pattern.compile("\\{\\{([#^])([\\w.]+)}}(.*?)\\{\\{/\\2}}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([\\w.]+)(\\|json)?}}");

    private Template() {}

    static String fill(String template, Map<String, Object> fields) {
        String text = replace(SECTION, template, match -> section(match, fields));
        return replace(VALUE, text, match -> {
            Object value = find(match.group(1), fields);
            return value == null ? "" : match.group(2) == null ? plain(value) : json(value);
        });
    }

    private static String section(Matcher match, Map<String, Object> fields) {
        Object value = find(match.group(2), fields);
        boolean present = value != null && !Boolean.FALSE.equals(value);
        if (match.group(1).equals("^")) {
            return present ? "" : match.group(3);
        }
        return present ? match.group(3).replace("{{.}}", plain(value)) : "";
    }

    private static Object find(String path, Map<String, Object> fields) {
        Object value = fields;
        for (String name : path.split("\\.")) {
            if (value instanceof Map<?, ?> table) {
                value = table.get(name);
            } else if (value instanceof List<?> list) {
                value = list.get(Integer.parseInt(name));
            } else {
                return null;
            }
        }
        return value;
    }

    private static String plain(Object value) {
        if (value instanceof List<?> list) {
            return list.stream().map(Template::plain).collect(Collectors.joining(","));
        }
        return value instanceof Map ? json(value) : String.valueOf(value);
    }

    static String json(Object value) {
        if (value instanceof Map<?, ?> table) {
            return table.entrySet().stream()
                    .map(entry -> "\"" + entry.getKey() + "\":" + json(entry.getValue()))
                    .collect(Collectors.joining(",", "{", "}"));
        }
        if (value instanceof List<?> list) {
            return list.stream().map(Template::json).collect(Collectors.joining(",", "[", "]"));
        }
        return value instanceof String text ? "\"" + text + "\"" : String.valueOf(value);
    }

    private static String replace(Pattern pattern, String text, java.util.function.Function<Matcher, String> by) {
        Matcher matcher = pattern.matcher(text);
        StringBuilder result = new StringBuilder();
        while (matcher.find()) {
            matcher.appendReplacement(result, Matcher.quoteReplacement(by.apply(matcher)));
        }
        return matcher.appendTail(result).toString();
    }
}
