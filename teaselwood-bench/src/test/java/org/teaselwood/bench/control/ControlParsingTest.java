package org.teaselwood.bench.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaselwood.bench.control.LeastSquares.Point;

/** Guards against errors in the computation of published figures. */
class ControlParsingTest {
    @Test
    void a_line_is_fitted_by_least_squares() {
        // Guards against swapped slope and intercept, and against a fit that uses only the end points.
        LeastSquares line =
                LeastSquares.fit(List.of(new Point(0, 1), new Point(1, 3), new Point(2, 5), new Point(3, 7)));
        assertThat(line.slope()).isWithin(1e-9).of(2);
        assertThat(line.intercept()).isWithin(1e-9).of(1);
        assertThat(LeastSquares.fit(List.of(new Point(11, 4))).intercept()).isEqualTo(4);
        assertThat(LeastSquares.fitThroughOrigin(List.of(new Point(1, 2), new Point(2, 4)))
                        .slope())
                .isWithin(1e-9)
                .of(2);
    }

    @Test
    void processor_time_is_read_behind_a_command_name_with_spaces() {
        // Guards against counting fields from the start of the line: spaces in the command name shift the fields.
        String stat = "7 (a (b) c) S 1 7 7 0 -1 4194560 1 0 0 0 150 50 0 0 20 0 9 0 1";
        ProcessSample sample = ProcessSample.parse("VmRSS:\t  2048 kB\nRssAnon:\t 1024 kB\n", stat);
        assertThat(sample).isEqualTo(new ProcessSample(2048, 1024, 2000));
    }
}
