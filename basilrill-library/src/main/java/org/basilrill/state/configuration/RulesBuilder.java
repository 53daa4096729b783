package org.basilrill.state.configuration;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ModelId;

/**
 * Collects the rules of one file line by line. A name counts as defined even if its line has another fault, so that one
 * fault is not reported again at every rule that refers to the name. Not thread safe.
 */
final class RulesBuilder {
    /** Largest single quantity; a sum of 8,000 of them still fits into 64 bits. */
    private static final long MAXIMUM_QUANTITY = 1L << 50;

    private static final int MAXIMUM_COPIES = 10_000;
    private static final int MAXIMUM_WEIGHT = 1_000_000;
    private static final int MAXIMUM_PRIORITY = 100;
    private static final int MAXIMUM_IN_FLIGHT = 1_000_000;
    private static final int MAXIMUM_LOADS_PER_SECOND = 1_000_000;

    private static final String RATE = "rate";
    private static final String BURST = "burst";
    private static final String WEIGHT = "weight";
    private static final String REGIONS = "regions";
    private static final String ROLE = "role";
    private static final String MEMORY = "memory";
    private static final String COPIES = "copies";
    private static final String VERSION = "version";
    private static final String PRIORITY = "priority";
    private static final String ORDER = "order";
    private static final String LOADS_PER_SECOND = "loads-per-second";
    private static final String IN_FLIGHT = "in-flight";

    private final Map<String, BiConsumer<RulesBuilder, RuleLine>> readers = Map.of(
            "account", RulesBuilder::account,
            "key", RulesBuilder::key,
            "operator", RulesBuilder::operator,
            "model", RulesBuilder::model,
            "adapter", RulesBuilder::adapter,
            "route", RulesBuilder::route,
            "service", RulesBuilder::service,
            "open", RulesBuilder::open,
            "store", RulesBuilder::store,
            "adapter-loads", RulesBuilder::adapterLoads);
    private final Map<AccountId, Rules.Account> accounts = new HashMap<>();
    private final Map<KeyHash, AccountId> keys = new HashMap<>();
    private final Map<KeyHash, Rules.Operator> operators = new HashMap<>();
    private final Map<ModelId, Rules.Model> models = new LinkedHashMap<>();
    private final Map<ModelId, Rules.Adapter> adapters = new HashMap<>();
    private final Map<String, Rules.Service> services = new HashMap<>();
    private final List<Rules.RoutePattern> openRoutes = new ArrayList<>();
    private final Map<ModelId, Integer> priorities = new HashMap<>();
    private final Map<String, Integer> definitions = new HashMap<>();
    private final Map<String, Long> sums = new HashMap<>();
    private final List<Reference> references = new ArrayList<>();
    private Rules.StoreLimits limits = Rules.StoreLimits.defaults();

    void add(RuleLine line) {
        BiConsumer<RulesBuilder, RuleLine> reader = readers.get(line.kind());
        if (reader == null) {
            line.fault(line.kind(), RuleFaultCode.UNKNOWN_RULE, "no such rule kind");
            return;
        }
        reader.accept(this, line);
    }

    /** Records a fault for each reference to a name that no line defines; called after the last line. */
    void checkReferences() {
        for (Reference reference : references) {
            if (!definitions.containsKey(reference.definition())) {
                reference.line().fault(reference.field(), RuleFaultCode.UNKNOWN_REFERENCE, "no rule defines it");
            }
        }
    }

    Rules build(long revision) {
        priorities.forEach((id, priority) -> models.computeIfPresent(
                id,
                (same, model) -> new Rules.Model(
                        id,
                        model.memoryBytes(),
                        model.minimumCopies(),
                        model.maximumCopies(),
                        model.version(),
                        priority)));
        return new Rules(revision, accounts, keys, operators, models, adapters, services, openRoutes, limits);
    }

    private void account(RuleLine line) {
        Optional<AccountId> id = line.next("name").flatMap(name -> accountId(line, "name", name));
        id.ifPresent(account -> define(line, "name", "account " + account));
        Map<String, String> fields = line.fields(Set.of(RATE, BURST, WEIGHT, REGIONS));
        Optional<Long> rate = tokens(line, RATE, fields);
        Optional<Long> burst = tokens(line, BURST, fields);
        Optional<Long> weight = optionalCount(line, WEIGHT, fields, 1, 1, MAXIMUM_WEIGHT);
        if (id.isPresent() && rate.isPresent() && burst.isPresent() && weight.isPresent()) {
            accounts.put(
                    id.get(),
                    new Rules.Account(
                                    id.get(),
                                    rate.get(),
                                    burst.get(),
                                    weight.get().intValue())
                            .within(regions(line, fields)));
        }
    }

    /** Reads regions, separated by commas; empty if the field is absent. */
    private static Set<String> regions(RuleLine line, Map<String, String> fields) {
        if (!fields.containsKey(REGIONS)) {
            return Set.of();
        }
        List<String> names = List.of(fields.get(REGIONS).split(",", -1));
        if (names.contains("")) {
            line.fault(REGIONS, RuleFaultCode.INVALID_VALUE, "must be names of regions, separated by commas");
        }
        return new HashSet<>(names);
    }

    private void key(RuleLine line) {
        Optional<AccountId> account = line.next("account").flatMap(name -> accountId(line, "account", name));
        account.ifPresent(id -> references.add(new Reference(line, "account", "account " + id)));
        Optional<KeyHash> hash = hash(line);
        line.expectEnd();
        if (account.isPresent() && hash.isPresent()) {
            keys.put(hash.get(), account.get());
        }
    }

    private void operator(RuleLine line) {
        Optional<String> name =
                line.next("name").flatMap(text -> accountId(line, "name", text).map(AccountId::value));
        name.ifPresent(text -> define(line, "name", "operator " + text));
        Optional<String> keyword = line.next(ROLE);
        if (keyword.isPresent() && !keyword.get().equals(ROLE)) {
            line.fault(keyword.get(), RuleFaultCode.UNKNOWN_FIELD, "\"role\" is expected here");
        }
        Optional<Rules.Role> role = line.next(ROLE).flatMap(text -> role(line, text));
        Optional<KeyHash> hash = hash(line);
        line.expectEnd();
        if (name.isPresent() && role.isPresent() && hash.isPresent()) {
            operators.put(hash.get(), new Rules.Operator(name.get(), role.get()));
        }
    }

    private void model(RuleLine line) {
        Optional<ModelId> id = line.next("name").flatMap(name -> modelId(line, name, false));
        id.ifPresent(model -> define(line, "name", "model " + model));
        Map<String, String> fields = line.fields(Set.of(MEMORY, COPIES, VERSION));
        Optional<Long> memory = memory(line, fields);
        Optional<CopyRange> copies = CopyRange.read(line, COPIES, fields.getOrDefault(COPIES, "1"), MAXIMUM_COPIES);
        Optional<Long> version = optionalCount(line, VERSION, fields, 1, 1, Integer.MAX_VALUE);
        if (memory.isPresent() && copies.isPresent()) {
            addToSum(line, MEMORY, memory.get(), copies.get().maximum());
        }
        if (id.isPresent() && memory.isPresent() && copies.isPresent() && version.isPresent()) {
            models.put(
                    id.get(),
                    new Rules.Model(
                            id.get(),
                            memory.get(),
                            copies.get().minimum(),
                            copies.get().maximum(),
                            version.get().intValue(),
                            Rules.DEFAULT_PRIORITY));
        }
    }

    private void adapter(RuleLine line) {
        Optional<ModelId> id = line.next("name").flatMap(name -> modelId(line, name, true));
        id.ifPresent(adapter -> {
            define(line, "name", "adapter " + adapter);
            references.add(new Reference(line, "name", "model " + adapter.base()));
        });
        Optional<Long> memory = memory(line, line.fields(Set.of(MEMORY)));
        memory.ifPresent(bytes -> addToSum(line, MEMORY, bytes, 1));
        if (id.isPresent() && memory.isPresent()) {
            adapters.put(id.get(), new Rules.Adapter(id.get(), memory.get()));
        }
    }

    private void route(RuleLine line) {
        Optional<ModelId> id = line.next("model").flatMap(name -> modelId(line, name, false));
        id.ifPresent(model -> {
            define(line, "model", "route " + model);
            references.add(new Reference(line, "model", "model " + model));
        });
        Optional<Long> priority = priority(line, line.fields(Set.of(PRIORITY)));
        if (id.isPresent() && priority.isPresent()) {
            priorities.put(id.get(), priority.get().intValue());
        }
    }

    private void service(RuleLine line) {
        Optional<String> name = line.next("name").flatMap(text -> RouteReader.serviceName(line, text));
        name.ifPresent(text -> define(line, "name", "service " + text));
        List<Rules.RoutePattern> orders = new ArrayList<>();
        Map<String, String> fields = new HashMap<>();
        while (line.hasNext()) {
            String field = line.next("field").orElseThrow();
            if (field.equals(ORDER)) {
                RouteReader.read(line).ifPresent(orders::add);
            } else if (!field.equals(PRIORITY)) {
                line.fault(field, RuleFaultCode.UNKNOWN_FIELD, "rule service has no such field");
            } else if (line.next(field)
                    .map(value -> fields.put(PRIORITY, value))
                    .isPresent()) {
                line.fault(field, RuleFaultCode.DUPLICATE, "the field may occur once");
            }
        }
        fields.putIfAbsent(PRIORITY, Integer.toString(Rules.DEFAULT_PRIORITY));
        Optional<Long> priority = priority(line, fields);
        if (name.isPresent() && priority.isPresent()) {
            services.put(
                    name.get(), new Rules.Service(name.get(), priority.get().intValue(), orders));
        }
    }

    private void open(RuleLine line) {
        Optional<Rules.RoutePattern> route = RouteReader.read(line);
        line.expectEnd();
        route.ifPresent(pattern -> {
            define(line, "path", "open " + pattern.method() + " " + pattern.path());
            openRoutes.add(pattern);
        });
    }

    private void store(RuleLine line) {
        define(line, line.kind(), "store");
        Map<String, String> fields = line.fields(Set.of(LOADS_PER_SECOND, IN_FLIGHT));
        Optional<BigDecimal> rate = line.decimal(
                LOADS_PER_SECOND,
                Optional.ofNullable(fields.get(LOADS_PER_SECOND)),
                Quantities::decimal,
                0,
                MAXIMUM_LOADS_PER_SECOND);
        if (rate.isPresent() && rate.get().signum() == 0) {
            line.fault(LOADS_PER_SECOND, RuleFaultCode.OUT_OF_RANGE, "with 0 no model could ever be loaded");
        }
        Optional<Long> inFlight = inFlight(line, fields);
        if (rate.isPresent() && inFlight.isPresent()) {
            limits = new Rules.StoreLimits(
                    rate.get().doubleValue(), inFlight.get().intValue(), limits.adapterLoadsInFlight());
        }
    }

    private void adapterLoads(RuleLine line) {
        define(line, line.kind(), "adapter-loads");
        inFlight(line, line.fields(Set.of(IN_FLIGHT)))
                .ifPresent(count -> limits =
                        new Rules.StoreLimits(limits.loadsPerSecond(), limits.loadsInFlight(), count.intValue()));
    }

    private Optional<Long> tokens(RuleLine line, String field, Map<String, String> fields) {
        Optional<Long> value =
                line.number(field, Optional.ofNullable(fields.get(field)), Quantities::tokens, 1, MAXIMUM_QUANTITY);
        value.ifPresent(tokens -> addToSum(line, field, tokens, 1));
        return value;
    }

    private static Optional<Long> memory(RuleLine line, Map<String, String> fields) {
        return line.number(MEMORY, Optional.ofNullable(fields.get(MEMORY)), Quantities::bytes, 1, MAXIMUM_QUANTITY);
    }

    private static Optional<Long> priority(RuleLine line, Map<String, String> fields) {
        return line.number(PRIORITY, Optional.ofNullable(fields.get(PRIORITY)), Quantities::count, 0, MAXIMUM_PRIORITY);
    }

    private static Optional<Long> inFlight(RuleLine line, Map<String, String> fields) {
        return line.number(
                IN_FLIGHT, Optional.ofNullable(fields.get(IN_FLIGHT)), Quantities::count, 1, MAXIMUM_IN_FLIGHT);
    }

    private static Optional<Long> optionalCount(
            RuleLine line, String field, Map<String, String> fields, long defaultValue, long minimum, long maximum) {
        String text = fields.getOrDefault(field, Long.toString(defaultValue));
        return line.number(field, Optional.of(text), Quantities::count, minimum, maximum);
    }

    private static Optional<AccountId> accountId(RuleLine line, String field, String text) {
        try {
            return Optional.of(new AccountId(text));
        } catch (BasilrillException exception) {
            line.fault(field, RuleFaultCode.INVALID_NAME, exception.getMessage());
            return Optional.empty();
        }
    }

    private static Optional<ModelId> modelId(RuleLine line, String text, boolean adapter) {
        String[] parts = text.split("/", -1);
        if (parts.length != (adapter ? 2 : 1) || (adapter && parts[1].isEmpty())) {
            String expected = adapter ? "model/adapter" : "a model without an adapter";
            line.fault("name", RuleFaultCode.INVALID_NAME, "\"" + text + "\" does not name " + expected);
            return Optional.empty();
        }
        try {
            return Optional.of(new ModelId(text));
        } catch (BasilrillException exception) {
            line.fault("name", RuleFaultCode.INVALID_NAME, exception.getMessage());
            return Optional.empty();
        }
    }

    private static Optional<Rules.Role> role(RuleLine line, String text) {
        switch (text) {
            case "admin":
                return Optional.of(Rules.Role.ADMIN);
            case "viewer":
                return Optional.of(Rules.Role.VIEWER);
            default:
                line.fault(ROLE, RuleFaultCode.INVALID_VALUE, "\"" + text + "\" is neither admin nor viewer");
                return Optional.empty();
        }
    }

    /** Reads a key hash; one key must not give access to two accounts, nor to an account and the administration. */
    private Optional<KeyHash> hash(RuleLine line) {
        Optional<KeyHash> hash = line.next("hash").flatMap(text -> HashReader.read(line, text));
        hash.ifPresent(value -> define(line, "hash", "hash " + value.hexadecimal()));
        return hash;
    }

    private void define(RuleLine line, String field, String definition) {
        Integer first = definitions.putIfAbsent(definition, line.number());
        if (first != null) {
            line.fault(field, RuleFaultCode.DUPLICATE, "already defined on line " + first);
        }
    }

    private void addToSum(RuleLine line, String field, long quantity, long count) {
        String sum = line.kind().equals("account") ? field : MEMORY;
        try {
            sums.merge(sum, Math.multiplyExact(quantity, count), Math::addExact);
        } catch (ArithmeticException exception) {
            line.fault(field, RuleFaultCode.SUM_TOO_LARGE, "the sum over all rules exceeds " + Long.MAX_VALUE);
        }
    }

    /** A reference to a name that some line must define. */
    private record Reference(RuleLine line, String field, String definition) {}
}
