/* Classes of streams by the longest gap between two events that they allow. */
#ifndef POLICY_STREAM_CLASS_H
#define POLICY_STREAM_CLASS_H

enum stream_class {
	STREAM_SHORT,
	STREAM_MEDIUM,
	STREAM_LONG,
	STREAM_CLASSES,
};

#endif
