package org.teaselwood.protocol;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Level;
import org.teaselwood.model.ParameterRule;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Shape;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.model.Template;
import org.teaselwood.model.Term;
import org.teaselwood.model.WorkKind;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.Message;
import org.teaselwood.protocol.message.RegionView;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.protocol.message.WorkMessage;

/** Tests of the message codec with messages that cover the component types. */
class MessageCodecTest {
    private static final AttemptIdentifier ATTEMPT = new AttemptIdentifier(new JobIdentifier("job-1"), 2);
    private static final TaskSpecification SPECIFICATION = new TaskSpecification(
            "winding",
            "render",
            "tune",
            Map.of("bell", "4"),
            PartResources.ofAccelerators(8),
            3,
            3,
            false,
            true,
            true,
            true,
            17L,
            "key",
            "");
    private static final PartReport REPORT =
            new PartReport(ATTEMPT, 1, 3, PartPhase.HELD, PartResources.ofAccelerators(8), 0, 40, 2, "");

    static List<Message> messages() {
        Template template = new Template(
                "render",
                WorkKind.JOB,
                new Shape(3, PartResources.ofAccelerators(8), Level.RACK),
                Set.of("tuning"),
                List.of(
                        new ParameterRule("bell", "[0-9]+", Optional.of("1")),
                        new ParameterRule("tower", ".+", Optional.empty())),
                1000L,
                true,
                3,
                "tune");
        return List.of(
                new AgentCommand.Hold(new Term(4, "entry-1"), ATTEMPT, 1, 0, SPECIFICATION, 10_000),
                new AgentMessage.AgentHello(
                        new BackendServer("w1", "r", "d", "k", Set.of("a", "b"), 8, 32, 131_072, 8, 64, 1.5),
                        "incarnation",
                        Term.NONE,
                        7,
                        false,
                        List.of(new AgentMessage.HeldPart(REPORT, SPECIFICATION))),
                new EntryMessage.FromAgents(
                        "entry-1",
                        List.of(new EntryMessage.FromAgent("w1", "i", new AgentMessage.PartChanged(REPORT)))),
                new FrontReply.RegionReply(new RegionView(
                        "r",
                        "entry-1",
                        Term.NONE,
                        3,
                        2,
                        true,
                        0.5,
                        List.of(new AgentCommand.EntryAddress("entry-1", "d", "127.0.0.1", 7000)),
                        List.of(),
                        Map.of("winding", 3),
                        Map.of())),
                new FrontReply.ConfigurationReply(new Configuration(
                        3, Map.of("render", template), Map.of(), Map.of("w1", ServiceState.DRAINING))));
    }

    /** Guards against a component type whose encoding and decoding differ. */
    @ParameterizedTest
    @MethodSource("messages")
    void a_decoded_message_equals_the_encoded_one(Message message) {
        assertThat(MessageCodec.decode(MessageCodec.encode(message))).isEqualTo(message);
    }

    /** Guards against accepting a truncated frame as a complete message. */
    @ParameterizedTest
    @MethodSource("messages")
    void every_truncated_frame_is_refused(Message message) {
        byte[] frame = MessageCodec.encode(message);
        for (int length = 0; length < frame.length; length++) {
            byte[] truncated = Arrays.copyOf(frame, length);
            TeaselwoodException exception =
                    assertThrows(TeaselwoodException.class, () -> MessageCodec.decode(truncated));
            assertThat(exception.kind()).isEqualTo(ErrorKind.BAD_FRAME);
        }
    }

    /** Guards against a corrupted frame that raises an error other than BAD_FRAME, which would stop the duty thread. */
    @Test
    void a_damaged_frame_is_refused_or_decoded_but_never_raises_another_error() {
        Random random = new Random(20_261_204L);
        for (Message message : messages()) {
            for (int round = 0; round < 2_000; round++) {
                byte[] frame = MessageCodec.encode(message);
                frame[random.nextInt(frame.length)] = (byte) random.nextInt(256);
                try {
                    MessageCodec.decode(frame);
                } catch (TeaselwoodException exception) {
                    assertThat(exception.kind()).isEqualTo(ErrorKind.BAD_FRAME);
                }
            }
        }
    }

    /** Guards against agents of an earlier build whose reports are refused while the entries are replaced first. */
    @Test
    void a_report_of_an_earlier_build_is_decoded() throws IOException {
        WorkMessage.ServerReport report = new WorkMessage.ServerReport(
                new WorkMessage.ServerDescription("s", 1, "vm", "service", "d", "r", List.of(), 1, 1, 1),
                1,
                1,
                false,
                true,
                1,
                1,
                List.of(),
                List.of(new WorkMessage.EndedTask(1, "job.0.0.0", 1, WorkMessage.EndKind.DONE, "")));
        byte[] frame = MessageCodec.encode(report);
        MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame);
        unpacker.unpackInt();
        // The header of an array of ten fields becomes one of nine, and the last field is left out.
        frame[(int) unpacker.getTotalReadBytes()]--;
        assertThat(MessageCodec.decode(Arrays.copyOf(frame, frame.length - 1))).isEqualTo(report);
        frame[(int) unpacker.getTotalReadBytes()]--;
        byte[] withoutEnds = Arrays.copyOf(frame, frame.length - 1);
        assertThrows(TeaselwoodException.class, () -> MessageCodec.decode(withoutEnds));
    }
}
