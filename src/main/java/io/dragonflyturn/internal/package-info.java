/** Implementation classes shared by internal packages; not part of the public API. */
@NullMarked
package io.dragonflyturn.internal;

import org.jspecify.annotations.NullMarked;
