/** The case cannot run for a reason that says nothing about the rule. */
final class CannotRun extends RuntimeException {
    CannotRun(String reason) {
        super(reason);
    }
}
