package org.basilrill.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.InstanceId;
import org.basilrill.daemon.TextFiles;
import org.basilrill.daemon.settings.SettingsDocument.Field;
import org.basilrill.daemon.settings.SettingsFault.Kind;
import org.basilrill.protocol.instance.InterfaceOptions;
import org.basilrill.state.configuration.RegionTable;

/**
 * Reads and validates settings files, and reports all faults of a file together. Not thread safe; each reader is used
 * for one file.
 */
public final class SettingsReader {
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]+]):(\\d{1,5})");
    private static final Pattern KEY_HASH = Pattern.compile("sha256:([0-9a-f]{64})");
    private static final int MAXIMUM_PORT = 65_535;
    private static final long MAXIMUM_MILLIS = Duration.ofHours(1).toMillis();

    private final List<SettingsFault> faults = new ArrayList<>();

    private SettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @throws SettingsException if the file has faults
     * @throws BasilrillException with {@code FILE_UNREADABLE} if it cannot be read
     */
    public static Settings read(Path file) {
        return parse(file.toString(), TextFiles.read("settings file", file));
    }

    /**
     * Parses the text of a settings file.
     *
     * @param file file name for the descriptions of the faults
     * @throws SettingsException if the text has faults
     */
    public static Settings parse(String file, String text) {
        return new SettingsReader().parseText(file, text);
    }

    private Settings parseText(String file, String text) {
        SettingsDocument document = new SettingsDocument(text, faults);
        if (!faults.isEmpty()) {
            throw new SettingsException(file, faults);
        }
        Optional<InstanceId> instance = document.require("instance").flatMap(this::instanceId);
        Optional<String> dataCentre = document.require("dataCentre").flatMap(this::text);
        Optional<InetSocketAddress> callerAddress =
                document.require("callerAddress").flatMap(this::address);
        Optional<InetSocketAddress> peerAddress =
                document.require("peerAddress").flatMap(this::address);
        Optional<InetSocketAddress> peerListenAddress =
                document.take("peerListenAddress").flatMap(this::address);
        Optional<Set<Settings.Role>> roles = document.require("roles").flatMap(this::roles);
        Optional<Map<InstanceId, InetSocketAddress>> seeds =
                document.take("seeds").flatMap(field -> seeds(field, peerAddress));
        Optional<Map<InstanceId, InetSocketAddress>> replicas =
                seeds.isPresent() ? seeds : document.require("replicas").flatMap(this::replicas);
        Optional<Path> dataFolder =
                document.take("dataFolder").flatMap(this::text).map(Path::of);
        Optional<String> operatorKeyHash = document.take("operatorKeyHash").flatMap(this::keyHash);
        Optional<String> announcementKeyHash =
                document.take("announcementKeyHash").flatMap(this::keyHash);
        Duration drainLimit =
                document.take("drainLimitMillis").flatMap(this::duration).orElse(Settings.DEFAULT_DRAIN_LIMIT);
        Duration progressTimeout = document.take("progressTimeoutMillis")
                .flatMap(this::duration)
                .orElse(Settings.DEFAULT_PROGRESS_TIMEOUT);
        InterfaceSettings interfaces = interfaceSettings(document, dataCentre);
        document.rejectRemaining();
        checkCombinations(instance, roles, replicas, dataFolder, seeds.isPresent());
        if (!faults.isEmpty()) {
            faults.sort(Comparator.comparingInt(SettingsFault::line));
            throw new SettingsException(file, faults);
        }
        return new Settings(
                instance.orElseThrow(),
                dataCentre.orElseThrow(),
                callerAddress.orElseThrow(),
                peerAddress.orElseThrow(),
                peerListenAddress.or(() -> peerAddress).orElseThrow(),
                roles.orElseThrow(),
                replicas.orElseThrow(),
                dataFolder,
                operatorKeyHash,
                announcementKeyHash,
                drainLimit,
                progressTimeout,
                interfaces);
    }

    private InterfaceSettings interfaceSettings(SettingsDocument document, Optional<String> dataCentre) {
        Duration listingValidity = document.take("listingValidityMillis")
                .flatMap(this::duration)
                .orElse(InterfaceSettings.DEFAULT_LISTING_VALIDITY);
        return new InterfaceSettings(
                document.take("dialect").flatMap(this::text),
                document.take("ownAddresses").flatMap(this::addresses).orElse(List.of()),
                document.take("metricsAddress").flatMap(this::address),
                document.take("relayAddress").flatMap(this::address),
                document.take("foundsCluster").flatMap(this::flag).orElse(true),
                listingValidity,
                document.take("staleListingWaitMillis").flatMap(this::duration).orElse(listingValidity),
                document.take("listedInstances")
                        .flatMap(this::number)
                        .map(Double::intValue)
                        .orElse(InterfaceSettings.DEFAULT_LISTED_INSTANCES),
                document.take("announcementValidityMillis")
                        .flatMap(this::duration)
                        .orElse(InterfaceSettings.DEFAULT_ANNOUNCEMENT_VALIDITY),
                document.take("retryShare").flatMap(this::number).orElse(InterfaceSettings.DEFAULT_RETRY_SHARE),
                document.take("retrySlack").flatMap(this::number).orElse(InterfaceSettings.DEFAULT_RETRY_SLACK),
                document.take("orderLeaseMillis").flatMap(this::duration).orElse(InterfaceSettings.DEFAULT_ORDER_LEASE),
                regionTable(document, dataCentre),
                document.take("peerForwarding").flatMap(this::flag).orElse(false),
                document.take("predictiveRouting").flatMap(this::flag).orElse(false),
                document.take("lossToleranceTokens")
                        .flatMap(this::number)
                        .orElse(0.0)
                        .longValue(),
                document.take("coldRateOverage").flatMap(this::number),
                document.take("coldRateSlack").flatMap(this::number),
                document.take("recoveryPacing").flatMap(this::flag).orElse(false),
                document.take("rulesInForceMillis")
                        .flatMap(this::duration)
                        .orElse(InterfaceOptions.DEFAULT_RULES_IN_FORCE_WITHIN));
    }

    /** Returns the stated table. Without one, only the region of the own data centre is known, if it is stated. */
    private RegionTable regionTable(SettingsDocument document, Optional<String> dataCentre) {
        Optional<String> region = document.take("region").flatMap(this::text);
        Optional<Map<String, String>> regions = document.take("regions").flatMap(this::regions);
        return regions.or(() -> dataCentre.flatMap(own -> region.map(name -> Map.of(own, name))))
                .map(RegionTable::new)
                .orElse(RegionTable.EMPTY);
    }

    private Optional<Map<String, String>> regions(Field field) {
        if (!field.value().isObject()) {
            faults.add(field.fault(Kind.WRONG_TYPE, "must be an object that maps data centres to regions"));
            return Optional.empty();
        }
        Map<String, String> regions = new HashMap<>();
        field.value().fields().forEachRemaining(entry -> {
            Field nested = new Field(field.name() + "." + entry.getKey(), field.line(), entry.getValue());
            text(nested).ifPresent(region -> regions.put(entry.getKey(), region));
        });
        return Optional.of(regions);
    }

    private void checkCombinations(
            Optional<InstanceId> instance,
            Optional<Set<Settings.Role>> roles,
            Optional<Map<InstanceId, InetSocketAddress>> replicas,
            Optional<Path> dataFolder,
            boolean replicasFromSeeds) {
        if (roles.isEmpty() || replicas.isEmpty() || instance.isEmpty()) {
            return;
        }
        boolean isReplica = roles.get().contains(Settings.Role.REPLICA);
        if (isReplica && dataFolder.isEmpty()) {
            faults.add(new SettingsFault(
                    0, "dataFolder", Kind.MISSING_FIELD, "must be present because the roles include \"replica\""));
        }
        if (!isReplica && dataFolder.isPresent()) {
            faults.add(new SettingsFault(
                    0, "dataFolder", Kind.CONTRADICTION, "is allowed only for instances with the role \"replica\""));
        }
        if (isReplica && !replicasFromSeeds && !replicas.get().containsKey(instance.get())) {
            faults.add(new SettingsFault(
                    0,
                    "replicas",
                    Kind.CONTRADICTION,
                    "must contain this instance because the roles include \"replica\""));
        }
    }

    private Optional<String> text(Field field) {
        if (!field.value().isTextual() || field.value().textValue().isBlank()) {
            faults.add(field.fault(Kind.WRONG_TYPE, "must be a non-empty string"));
            return Optional.empty();
        }
        return Optional.of(field.value().textValue());
    }

    private Optional<InstanceId> instanceId(Field field) {
        return text(field).flatMap(name -> {
            try {
                return Optional.of(new InstanceId(name));
            } catch (BasilrillException exception) {
                faults.add(field.fault(Kind.INVALID_VALUE, exception.getMessage()));
                return Optional.empty();
            }
        });
    }

    private Optional<InetSocketAddress> address(Field field) {
        return text(field).flatMap(value -> parseAddress(value, detail -> field.fault(Kind.INVALID_VALUE, detail)));
    }

    private Optional<InetSocketAddress> parseAddress(String value, Function<String, SettingsFault> fault) {
        Matcher matcher = ADDRESS.matcher(value);
        if (!matcher.matches()) {
            faults.add(fault.apply("must be an IP address with a port, such as 10.0.0.7:8080, not \"" + value + "\""));
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port < 1 || port > MAXIMUM_PORT) {
            faults.add(fault.apply("port " + port + " is not between 1 and " + MAXIMUM_PORT));
            return Optional.empty();
        }
        return Optional.of(new InetSocketAddress(matcher.group(1), port));
    }

    private Optional<Set<Settings.Role>> roles(Field field) {
        if (!field.value().isArray() || field.value().isEmpty()) {
            faults.add(field.fault(Kind.WRONG_TYPE, "must be a non-empty list of \"entry\" and \"replica\""));
            return Optional.empty();
        }
        Set<Settings.Role> roles = EnumSet.noneOf(Settings.Role.class);
        for (JsonNode element : field.value()) {
            Optional<Settings.Role> role = EnumSet.allOf(Settings.Role.class).stream()
                    .filter(known -> known.name().toLowerCase(Locale.ROOT).equals(element.textValue()))
                    .findFirst();
            role.ifPresent(roles::add);
            if (role.isEmpty()) {
                faults.add(field.fault(Kind.INVALID_VALUE, element + " is neither \"entry\" nor \"replica\""));
            }
        }
        return Optional.of(roles);
    }

    private Optional<Map<InstanceId, InetSocketAddress>> replicas(Field field) {
        if (!field.value().isObject() || field.value().isEmpty()) {
            faults.add(field.fault(Kind.WRONG_TYPE, "must be an object that maps instance names to peer addresses"));
            return Optional.empty();
        }
        Map<InstanceId, InetSocketAddress> replicas = new LinkedHashMap<>();
        field.value().fields().forEachRemaining(entry -> {
            Field nested = new Field(field.name() + "." + entry.getKey(), field.line(), entry.getValue());
            Field name = new Field(nested.name(), field.line(), TextNode.valueOf(entry.getKey()));
            Optional<InstanceId> instance = instanceId(name);
            Optional<InetSocketAddress> address = address(nested);
            if (instance.isPresent() && address.isPresent()) {
                replicas.put(instance.get(), address.get());
            }
        });
        return Optional.of(replicas);
    }

    /**
     * Reads the seeds. Instances that use seeds are named after their peer addresses and all have the same peer port.
     * The port of a seed is therefore replaced by the peer port of this instance.
     */
    private Optional<Map<InstanceId, InetSocketAddress>> seeds(Field field, Optional<InetSocketAddress> peerAddress) {
        if (peerAddress.isEmpty()) {
            return Optional.empty();
        }
        Map<InstanceId, InetSocketAddress> seeds = new LinkedHashMap<>();
        for (InetSocketAddress seed : addresses(field).orElse(List.of())) {
            InetSocketAddress peer =
                    new InetSocketAddress(seed.getAddress(), peerAddress.get().getPort());
            seeds.put(new InstanceId(peer.getAddress().getHostAddress() + ":" + peer.getPort()), peer);
        }
        return seeds.isEmpty() ? Optional.empty() : Optional.of(seeds);
    }

    private Optional<List<InetSocketAddress>> addresses(Field field) {
        if (!field.value().isArray()) {
            faults.add(field.fault(Kind.WRONG_TYPE, "must be a list of IP addresses with ports"));
            return Optional.empty();
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonNode element : field.value()) {
            address(new Field(field.name(), field.line(), element)).ifPresent(addresses::add);
        }
        return Optional.of(addresses);
    }

    private Optional<Boolean> flag(Field field) {
        if (!field.value().isBoolean()) {
            faults.add(field.fault(Kind.WRONG_TYPE, "must be true or false"));
            return Optional.empty();
        }
        return Optional.of(field.value().booleanValue());
    }

    private Optional<Double> number(Field field) {
        if (!field.value().isNumber() || field.value().doubleValue() < 0) {
            faults.add(field.fault(Kind.WRONG_TYPE, "must be a number that is 0 or more"));
            return Optional.empty();
        }
        return Optional.of(field.value().doubleValue());
    }

    private Optional<String> keyHash(Field field) {
        return text(field).flatMap(value -> {
            Matcher matcher = KEY_HASH.matcher(value);
            if (!matcher.matches()) {
                faults.add(field.fault(Kind.INVALID_VALUE, "must be \"sha256:\" followed by 64 hexadecimal digits"));
                return Optional.empty();
            }
            return Optional.of(matcher.group(1));
        });
    }

    private Optional<Duration> duration(Field field) {
        if (!field.value().canConvertToLong() || !field.value().isIntegralNumber()) {
            faults.add(field.fault(Kind.WRONG_TYPE, "must be a whole number of milliseconds"));
            return Optional.empty();
        }
        long millis = field.value().longValue();
        if (millis < 1 || millis > MAXIMUM_MILLIS) {
            faults.add(field.fault(Kind.INVALID_VALUE, millis + " is not between 1 and " + MAXIMUM_MILLIS));
            return Optional.empty();
        }
        return Optional.of(Duration.ofMillis(millis));
    }
}
