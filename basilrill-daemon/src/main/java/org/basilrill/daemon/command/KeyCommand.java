package org.basilrill.daemon.command;

import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.Base64;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.basilrill.api.AccountId;
import org.basilrill.state.configuration.KeyHash;

/** Makes keys. Only the hash goes into the rules; the key itself is shown once. Stateless. */
final class KeyCommand {
    private static final int KEY_BYTES = 32;
    private static final String KEY_PREFIX = "brk-";

    private KeyCommand() {}

    static Command create(PrintStream output) {
        return new Command(
                "key new",
                "ACCOUNT",
                "prints a new key and the rule line with its hash",
                new Options(),
                arguments -> run(arguments, output));
    }

    private static ExitCode run(CommandLine arguments, PrintStream output) {
        if (arguments.getArgList().size() != 1) {
            throw new UsageException("names exactly one client account");
        }
        AccountId account = new AccountId(arguments.getArgList().get(0));
        byte[] random = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(random);
        String key = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
        output.println(key);
        output.printf(
                "key %s sha256:%s  # asked by NAME%n", account, KeyHash.of(key).hexadecimal());
        return ExitCode.SUCCESS;
    }
}
