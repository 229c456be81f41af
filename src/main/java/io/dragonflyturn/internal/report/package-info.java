/** The quarterly report as one self-contained HTML file. */
@NullMarked
package io.dragonflyturn.internal.report;

import org.jspecify.annotations.NullMarked;
