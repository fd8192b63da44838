package pumicemoor.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicemoor.Logic;
import pumicemoor.RouterApi;
import pumicemoor.RouterApi.Settings;

/**
 * Tests the simulator's adapter: each batch gets one reply, unknown keys and fields are ignored, and invalid input is
 * reported in one line with its line number.
 */
class SimulatorAdapterTest {

    private static final String SYNC = "{\"msg\":\"Sync\",\"clock-us\":1000,\"round\":1}\n";
    private static final String YOUR_TURN = "{\"msg\":\"YourTurn\"}\n";
    private static final String BORN =
            "{\"msg\":\"Born\",\"router\":3,\"salt\":5,\"info\":{\"az\":\"a\",\"new-key\":[1,{}],"
                    + "\"classes\":[{\"name\":\"page\",\"aim-us\":100000,\"deadline-us\":900000,\"idempotency\":\"pure\"}],"
                    + "\"kinds\":[\"box\",\"hub\",\"origin\"],\"me\":0,\"siblings\":1,\"zones\":[\"a\",\"b\"],"
                    + "\"obligations\":{},\"policy-limits\":{\"most-tries\":4,\"max-open\":9},"
                    + "\"specifics\":{\"shield-kind\":1,\"store-kind\":2,\"sideways\":\"any\",\"note-level\":\"all\"}}}\n";
    private static final String FLEET = "{\"msg\":\"List\",\"sheet\":0,\"nodes-list\":["
            + "{\"area\":\"a\",\"server\":11,\"generation-hw\":\"box\",\"health\":\"in_service\"},"
            + "{\"area\":\"b\",\"server\":22,\"generation-hw\":\"hub\",\"health\":\"in_service\"}]}\n"
            + "{\"msg\":\"Fleet\",\"router\":3,\"mode\":\"cached\",\"gen\":1,\"sheet\":0}\n";
    private static final String ARRIVAL = "{\"msg\":\"Arrival\",\"router\":3,\"id\":\"r-a\",\"grade\":\"page\","
            + "\"asset\":\"/o/x\",\"time-left-us\":800000,\"unheard\":true}\n";

    private static String run(String input) throws IOException, InvalidInputException {
        return run(input, Logic::new);
    }

    private static String run(String input, BiFunction<Settings, Long, RouterApi> routerFactory)
            throws IOException, InvalidInputException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out, routerFactory)
                .run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws Exception {
        assertEquals("{\"msg\":\"End\",\"round\":1}\n", run(SYNC + YOUR_TURN));
    }

    @Test
    void emptyInputGivesNoOutputAndNoError() throws Exception {
        assertEquals("", run(""));
    }

    @Test
    void requestIsSentToTheCacheWithItsParentAsFillSource() throws Exception {
        String reply = run(SYNC + BORN + FLEET + ARRIVAL + YOUR_TURN);
        assertTrue(
                reply.contains("{\"msg\":\"Get\",\"router\":3,\"id\":\"r-a\",\"server\":11,\"from-where\":22,"), reply);
        assertTrue(reply.endsWith("{\"msg\":\"End\",\"round\":1}\n"), reply);
    }

    @Test
    void instancesDoNotShareMemberLists() throws Exception {
        String other = BORN.replace("\"router\":3", "\"router\":4");
        String reply = run(SYNC + BORN + FLEET + other + ARRIVAL.replace("\"router\":3", "\"router\":4") + YOUR_TURN);
        assertTrue(reply.contains("{\"msg\":\"Refuse\",\"router\":4,\"id\":\"r-a\"}"), reply);
    }

    @Test
    void exceptionInTheDecisionsIsReportedWithItsMessage() throws Exception {
        String reply = run(SYNC + BORN + FLEET + YOUR_TURN, (settings, salt) -> (now, event, sink) -> {
            throw new IllegalStateException("no decision");
        });
        assertTrue(
                reply.startsWith("{\"msg\":\"BailOut\",\"router\":3,\"message\":\"java.lang.IllegalStateException: "
                        + "no decision"),
                reply);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "nonsense | line 2: not JSON",
                "[1] | line 2: not a JSON object",
                "{\"msg\":\"Nova\",\"router\":3} | line 2: 'Nova' for router 3, which is not running",
                "{\"msg\":\"Arrival\",\"id\":\"r-a\"} | line 2: field 'router' is missing",
                "{\"router\":3} | line 2: field 'msg' is missing",
                "{\"msg\":\"Lapsed\",\"router\":9,\"id\":\"r-a\"} | line 2: 'Lapsed' for router 9, which is not running",
                "{\"msg\":\"Sync\",\"clock-us\":2000,\"round\":2} | line 2: batch 2 opens within batch 1"
            })
    void invalidLineInABatchFailsWithALineNumberInOneLine(String line, String message) {
        InvalidInputException e = assertThrows(InvalidInputException.class, () -> run(SYNC + line + "\n" + YOUR_TURN));
        assertTrue(e.getMessage().startsWith(message), e.getMessage());
        assertEquals(1, e.getMessage().lines().count());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"msg\":\"Sync\",\"clock-us\":2000,\"round\":3} | line 3: batch 3 at 2000 is out of order",
                "{\"msg\":\"Sync\",\"clock-us\":999,\"round\":2} | line 3: batch 2 at 999 is out of order",
                "{\"msg\":\"YourTurn\"} | line 3: 'YourTurn' outside of a batch"
            })
    void batchOutOfOrderFailsWithALineNumber(String line, String message) {
        InvalidInputException e = assertThrows(InvalidInputException.class, () -> run(SYNC + YOUR_TURN + line + "\n"));
        assertTrue(e.getMessage().startsWith(message), e.getMessage());
    }

    @Test
    void missingAndInvalidFieldsAreNamedInTheError() {
        InvalidInputException missing = assertThrows(
                InvalidInputException.class, () -> run(SYNC + BORN + ARRIVAL.replace("\"grade\":\"page\",", "")));
        assertEquals("line 3: field 'grade' is missing", missing.getMessage());
        InvalidInputException wrongType = assertThrows(
                InvalidInputException.class, () -> run(SYNC + BORN + ARRIVAL.replace("800000", "\"soon\"")));
        assertEquals("line 3: field 'time-left-us' has a value of the wrong type", wrongType.getMessage());
        InvalidInputException unknownClass = assertThrows(
                InvalidInputException.class, () -> run(SYNC + BORN + ARRIVAL.replace("\"page\"", "\"film\"")));
        assertEquals("line 3: unknown class 'film'", unknownClass.getMessage());
        InvalidInputException nested =
                assertThrows(InvalidInputException.class, () -> run(SYNC + BORN.replace("\"aim-us\":100000,", "")));
        assertEquals("line 2: field 'info.classes[0].aim-us' is missing", nested.getMessage());
    }

    @Test
    void endOfInputWithinABatchIsAnError() {
        assertThrows(InvalidInputException.class, () -> run(SYNC));
    }
}
