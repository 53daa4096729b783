package org.basilrill.state.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.basilrill.api.AccountId;

/** Guards against input for which the parser throws instead of reporting faults, and against lost keys. */
class RulesParserPropertyTest {
    private static final List<String> WORDS = List.of(
            "account",
            "key",
            "operator",
            "model",
            "adapter",
            "route",
            "service",
            "open",
            "store",
            "adapter-loads",
            "a",
            "a/b",
            "a//",
            "rate",
            "burst",
            "weight",
            "role",
            "admin",
            "memory",
            "copies",
            "1..2",
            "..",
            "1..",
            "order",
            "POST",
            "/x*",
            "priority",
            "in-flight",
            "1",
            "2GiB",
            "1e9",
            "9999999999999999999",
            "#",
            "# Ana",
            "\n",
            "sha256:" + "0a".repeat(32),
            "\t",
            "é",
            "\r\n");

    @Property(tries = 3000, seed = "4201")
    void everyTextGivesEitherRulesOrFaults(@ForAll("texts") String text) {
        ParsedRules parsed = RulesParser.parse(text, 1);
        assertThat(parsed.rules().isPresent(), is(parsed.faults().isEmpty()));
        int lines = text.split("\\R", -1).length;
        assertThat(parsed.faults().stream().allMatch(fault -> fault.line() >= 1 && fault.line() <= lines), is(true));
    }

    @Property(tries = 500, seed = "4202")
    void theKeyTableHoldsExactlyTheKeysOfItsLines(@ForAll("keyLines") List<Integer> owners) {
        Map<KeyHash, AccountId> expected = new HashMap<>();
        StringBuilder text = new StringBuilder();
        for (int account = 0; account < 4; account++) {
            text.append("account a").append(account).append(" rate 1 burst 1 # Ana\n");
        }
        for (int number = 0; number < owners.size(); number++) {
            KeyHash hash = KeyHash.of("key " + number);
            expected.put(hash, new AccountId("a" + owners.get(number)));
            text.append(String.format("key a%d sha256:%s # Ana%n", owners.get(number), hash.hexadecimal()));
        }
        Rules rules = RulesParser.parse(text.toString(), 1).rules().orElseThrow();
        assertThat(rules.keys(), is(expected));
        assertThat(rules.accountOf(KeyHash.of("key " + owners.size())), is(Optional.empty()));
    }

    @Provide
    Arbitrary<String> texts() {
        return Arbitraries.of(WORDS)
                .list()
                .ofMaxSize(40)
                .map(words -> words.stream().collect(Collectors.joining(" ")));
    }

    @Provide
    Arbitrary<List<Integer>> keyLines() {
        return Arbitraries.integers().between(0, 3).list().ofMaxSize(20);
    }
}
