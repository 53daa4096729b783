package org.basilrill.transport.threads;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a process that lives on without the threads that an error of the virtual machine has ended. */
@Timeout(60)
class FatalErrorHandlerTest {
    /** The thread in which the error occurs. */
    enum Place {
        OWN_THREAD,
        POOL,
        TIMER
    }

    @ParameterizedTest
    @EnumSource
    void anErrorInAnyThreadEndsTheProcess(Place place) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-Xmx32m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        FatalErrorHandlerTest.class.getName(),
                        place.name())
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(output, containsString("E109"));
        assertThat(process.waitFor(), is(FatalErrorHandler.EXIT_CODE));
    }

    /** Program of the test: causes an error in one thread while another one would keep the process alive. */
    public static void main(String[] arguments) throws InterruptedException {
        FatalErrorHandler.install();
        switch (Place.valueOf(arguments[0])) {
            case OWN_THREAD -> new Thread(FatalErrorHandlerTest::exhaustTheHeap).start();
            case POOL -> Executors.newFixedThreadPool(1).execute(FatalErrorHandlerTest::exhaustTheHeap);
            case TIMER ->
                new ExecutorScheduler(Executors.newScheduledThreadPool(1), Runnable::run)
                        .schedule(Duration.ofMillis(1), FatalErrorHandlerTest::exhaustTheHeap);
            default -> throw new IllegalArgumentException(arguments[0]);
        }
        new CountDownLatch(1).await();
    }

    private static void exhaustTheHeap() {
        byte[][] blocks = new byte[1024][];
        for (int number = 0; number < blocks.length; number++) {
            blocks[number] = new byte[1 << 20];
        }
    }
}
