package org.basilrill.daemon.command;

import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Base64;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.basilrill.api.AccountId;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.Rules;

/**
 * The command that generates keys. The rules contain only the hash of a key; the key itself is printed once and stored
 * nowhere. Stateless.
 */
final class KeyCommand {
    private static final int KEY_BYTES = 32;
    private static final String ROLE = "role";
    private static final String KEY_PREFIX = "brk-";

    private KeyCommand() {}

    static Command create(PrintStream output) {
        Options options = new Options()
                .addOption(Option.builder()
                        .longOpt(ROLE)
                        .hasArg()
                        .desc("generates the key of an operator with this role, admin or viewer")
                        .build());
        return new Command(
                "key new",
                "NAME",
                "prints a new key of a client account, or of an operator, and the rule line with its hash",
                options,
                arguments -> run(arguments, output));
    }

    private static ExitCode run(CommandLine arguments, PrintStream output) {
        if (arguments.getArgList().size() != 1) {
            throw new UsageException("exactly one client account or operator is required");
        }
        String name = arguments.getArgList().get(0);
        Optional<String> role = Optional.ofNullable(arguments.getOptionValue(ROLE));
        String rule = role.map(roleName -> operatorRule(name, roleName)).orElseGet(() -> "key " + new AccountId(name));
        byte[] random = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(random);
        String key = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
        output.println(key);
        output.printf("%s sha256:%s  # asked by NAME%n", rule, KeyHash.of(key).hexadecimal());
        output.println("# The first line is the key: hand it to its holder, it is not stored anywhere.");
        output.println("# Put the second line into the rules file, with who asked for it; then: basilrill apply.");
        if (role.isPresent()) {
            output.println("# First operator: also put the hash into operatorKeyHash of every settings file.");
        }
        return ExitCode.SUCCESS;
    }

    private static String operatorRule(String name, String role) {
        boolean known = Arrays.stream(Rules.Role.values())
                .anyMatch(value -> value.name().toLowerCase(Locale.ROOT).equals(role));
        if (!known) {
            throw new UsageException("role \"" + role + "\" is neither admin nor viewer");
        }
        return "operator " + new AccountId(name) + " role " + role;
    }
}
