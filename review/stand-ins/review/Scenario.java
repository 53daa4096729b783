package review;

import java.nio.file.Path;

/** One script of the review: plays it against a deployment and ends with the verdict as the exit status. */
interface Scenario {
    int HELD = 0;
    int BROKEN = 1;
    int NOT_RUN = 2;

    /**
     * Plays the scenario.
     *
     * @param trouble whether the disruption is played
     * @return one of the verdicts
     */
    int run(Deployment deployment, Journal journal, boolean trouble) throws Exception;

    /**
     * Runs a scenario and ends this process. The environment variable TROUBLE = 0 leaves out the disruption.
     *
     * @param arguments the folder of the repository and the file of the record
     */
    static void main(String[] arguments, int instances, int replicas, Scenario scenario) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int verdict = NOT_RUN;
        try (Journal journal = new Journal(Path.of(arguments[1]))) {
            try (Deployment deployment = new Deployment(Path.of(arguments[0]), instances, replicas)) {
                verdict = scenario.run(deployment, journal, trouble);
            } catch (Exception exception) {
                journal.add("the case could not run: %s", exception);
            }
            journal.add("verdict %d", verdict);
        } catch (Exception exception) {
            System.err.println(exception);
        }
        Runtime.getRuntime().halt(verdict);
    }
}
